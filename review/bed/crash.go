package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash"] = crash }

const (
	crashLength  = 70 * time.Second
	crashPerS    = 10
	crashAfter   = 100 * time.Millisecond // from the begin of the request
	crashDown    = 4 * time.Second
	stableWindow = 3 * time.Second
	usualPerS    = 20
	usualTime    = 500 * time.Millisecond
	maxRetries   = 3
)

// arrival is a crashing request at an instance.
type arrival struct {
	at       time.Time
	instance string
}

// crash lets one request crash each instance that runs it. Its caller sends it
// again and again, at any machine.
func crash(b *bed) {
	b.publish(7, 13, routeRow{name: "answer-submit", prefix: "/answers/", kind: "unsafe", service: "answer-desk", timeoutMs: 4000, goalMs: 600, priority: 1})
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	for n := range 10 {
		i := b.newInstance(fmt.Sprintf("i-%d", n+1), "answer-desk", []string{"za", "zb"}[n%2], 4, usualTime)
		i.work = func(r *http.Request) time.Duration {
			if !strings.HasSuffix(r.URL.Path, "/bad") {
				return usualTime
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{time.Now(), i.id})
			mu.Unlock()
			if b.trouble {
				time.AfterFunc(crashAfter, func() {
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
					b.log("%s: crashes", i.id)
					i.crash()
					time.AfterFunc(crashDown, i.comeBack)
				})
			}
			return usualTime
		}
		i.register()
	}
	var fronts []*front
	for n := range 3 {
		fronts = append(fronts, b.newFront(fmt.Sprintf("front-%d", n+1), []string{"za", "zb"}[n%2]))
	}
	for _, f := range fronts {
		f.start()
	}
	for _, f := range fronts {
		f.awaitReady()
	}
	time.Sleep(4 * time.Second)

	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 50, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	var requests sync.WaitGroup
	counts := map[string]int{}
	send := func(name, path string, f *front) {
		requests.Add(1)
		go func() {
			defer requests.Done()
			how := ask(b, client, f, http.MethodPost, path, "guess "+path)
			mu.Lock()
			counts[name+" "+how]++
			mu.Unlock()
		}()
	}
	began := time.Now()
	for n := 0; time.Since(began) < crashLength; n++ {
		if n%(usualPerS/crashPerS) == 0 {
			send("crashing", "/answers/bad", fronts[n/(usualPerS/crashPerS)%len(fronts)])
		}
		send("usual", fmt.Sprintf("/answers/%d", n), fronts[n%len(fronts)])
		time.Sleep(time.Second / usualPerS)
	}
	requests.Wait()
	mu.Lock()
	defer mu.Unlock()
	for how, n := range counts {
		b.log("%s: %d", how, n)
	}
	if len(crashes) < 3 {
		b.log("%d crashes, %d arrivals of the request", len(crashes), len(arrivals))
		if b.trouble || len(arrivals) <= maxRetries {
			b.cannot("%d crashes and %d arrivals", len(crashes), len(arrivals))
		}
		return
	}
	late := 0
	for _, a := range arrivals {
		after := a.at.Sub(crashes[2])
		b.log("the request reached %s %.3f s after its third crash", a.instance, after.Seconds())
		if after > stableWindow {
			late++
		}
	}
	b.log("%d crashes, %d arrivals later than %v after the third", len(crashes), late, stableWindow)
	if late > maxRetries {
		b.breaks("the request reached instances %d times later than %v after it had crashed the third; %d crashes in all", late, stableWindow, len(crashes))
	}
}
