package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["zone"] = zone }

const (
	zoneAt     = 5 * time.Second
	zoneDown   = 4500 * time.Millisecond
	zonePerS   = 45
	zoneLength = 45 * time.Second
)

// zone lets the instances of one zone end and come back together, while all
// teams fetch the same map.
func zone(b *bed) {
	b.publish(7, 13, routeRow{name: "clue-read", prefix: "/clues/", kind: "safe", service: "cluebook", timeoutMs: 3000, goalMs: 400, priority: 2, sticky: false})
	var lost []*instance
	for n := range 6 {
		i := b.newInstance(fmt.Sprintf("i-%d", n+1), "cluebook", []string{"za", "zb"}[n%2], 4, 450*time.Millisecond)
		i.register()
		if i.zone == "zb" {
			lost = append(lost, i)
		}
	}
	f := b.newFront("front-za-1", "za")
	f.start()
	f.awaitReady()
	time.Sleep(time.Second)

	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 200, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	var requests sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	began := time.Now()
	if b.trouble {
		time.AfterFunc(zoneAt, func() {
			b.log("zone zb: its %d instances end", len(lost))
			for _, i := range lost {
				i.crash()
			}
		})
		time.AfterFunc(zoneAt+zoneDown, func() {
			for _, i := range lost {
				i.comeBack()
			}
			b.log("zone zb: its instances are back")
		})
	}
	for time.Since(began) < zoneLength {
		second := int(time.Since(began).Seconds())
		requests.Add(1)
		go func() {
			defer requests.Done()
			how := ask(b, client, f, http.MethodGet, "/clues/map", "")
			mu.Lock()
			defer mu.Unlock()
			counts[how]++
			counts[fmt.Sprintf("%d s to %d s: %s", second/10*10, second/10*10+10, how)]++
		}()
		time.Sleep(time.Second / zonePerS)
	}
	requests.Wait()
	owed := 0
	for how, n := range counts {
		if len(how) == 3 {
			owed += n
		}
		b.log("%s: %d", how, n)
	}
	for _, i := range lost {
		b.log("%s: %s, runs %d", i.id, i.address, len(i.runs))
	}
	if notServed := owed - counts["200"]; float64(notServed) > 0.6*float64(owed) {
		b.breaks("of %d requests for the map, %d were refused or failed; three sound instances were up all the while, six for all but %.1f s", owed, notServed, zoneDown.Seconds())
	}
}

// ask sends one request. It returns its status or "000".
func ask(b *bed, client *http.Client, f *front, method, path, body string) string {
	id := b.newID()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.caller+path, strings.NewReader(body))
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	req.Host = callerHost
	req.GetBody = nil // keeps the client from sending the request again
	req.Header.Set("Hickoryroute-Request-Id", id)
	req.Header.Set("Hickoryroute-Deadline-Ms", strconv.Itoa(3000))
	resp, err := client.Do(req)
	if err != nil {
		b.log("client: %s no answer: %v", id, err)
		return "000"
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "000"
	}
	if resp.StatusCode != http.StatusOK {
		b.log("client: %s %s %d %s", id, path, resp.StatusCode, strings.TrimSpace(string(text)))
	} else {
		b.log("client: %s %s 200", id, path)
	}
	return strconv.Itoa(resp.StatusCode)
}
