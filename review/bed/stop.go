package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stop }

const (
	graceTime = 6 * time.Second
	// longWork and nextWork are the times of two requests: five times and three
	// times the usual work, where the site names seven times for 3 in 100.
	longWork   = 3800 * time.Millisecond
	nextWork   = 2100 * time.Millisecond
	usualWork  = 700 * time.Millisecond
	stopLanes  = 4
	budgetMs   = 4000
	beforeTerm = 250 * time.Millisecond
)

// stop stops one entry VM as planned while kept connections carry long requests.
func stop(b *bed) {
	b.publish(7, 13, routeRow{name: "answer-submit", prefix: "/answers/", kind: "unsafe", service: "answer-desk", timeoutMs: budgetMs, goalMs: 600, priority: 1, sticky: false})
	for n := range 2 {
		i := b.newInstance(fmt.Sprintf("i-%d", n+1), "answer-desk", []string{"za", "zb"}[n], 4, usualWork)
		i.work = func(r *http.Request) time.Duration {
			switch r.URL.Path {
			case "/answers/long":
				return longWork
			case "/answers/next":
				return nextWork
			}
			return usualWork
		}
		i.register()
	}
	f, other := b.newFront("front-za-1", "za"), b.newFront("front-zb-1", "zb")
	f.start()
	other.start()
	f.awaitReady()
	other.awaitReady()
	time.Sleep(4 * time.Second)

	var lanes sync.WaitGroup
	var term time.Time
	termSent := make(chan struct{})
	for lane := range stopLanes {
		lanes.Add(1)
		go func() {
			defer lanes.Done()
			stopLane(b, f, lane, termSent, &term)
		}()
	}
	time.Sleep(time.Second + beforeTerm)
	term = time.Now()
	if b.trouble {
		f.signal(syscall.SIGTERM)
	}
	close(termSent)
	lanes.Wait()
	if !b.trouble {
		return
	}
	select {
	case <-f.exited:
	case <-time.After(time.Until(term.Add(graceTime))):
		f.signal(syscall.SIGKILL)
		<-f.exited
	}
	b.log("%s: ended %.3f s after SIGTERM", f.name, f.exitedAt.Sub(term).Seconds())
}

// stopLane is one client with a kept connection. It sends a usual request, a
// long one shortly before the SIGTERM, and the next one as soon as that is
// answered, unless the answer closes the connection.
func stopLane(b *bed, f *front, lane int, termSent chan struct{}, term *time.Time) {
	conn, err := net.Dial("tcp", f.caller)
	if err != nil {
		b.cannot("client %d: %v", lane, err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	began := time.Now()
	if how, _ := submit(b, conn, reader, lane, "/answers/first"); how != "200" {
		b.cannot("client %d: the first request got %s", lane, how)
		return
	}
	time.Sleep(time.Until(began.Add(time.Second)))
	how, closes := submit(b, conn, reader, lane, "/answers/long")
	if how != "200" {
		b.cannot("client %d: the long request got %s", lane, how)
		return
	}
	if closes { // the client goes elsewhere
		return
	}
	<-termSent
	sent := time.Now()
	how, _ = submit(b, conn, reader, lane, "/answers/next")
	ended := time.Now()
	if !b.trouble && how != "200" {
		b.cannot("client %d: the next request got %s without a SIGTERM", lane, how)
	}
	if strings.HasPrefix(how, "cut") && ended.Sub(sent) < budgetMs*time.Millisecond {
		b.breaks("client %d: request sent %.3f s after SIGTERM and passed on was cut %.3f s after SIGTERM, %.3f s after it was sent",
			lane, sent.Sub(*term).Seconds(), ended.Sub(*term).Seconds(), ended.Sub(sent).Seconds())
	}
}

// submit sends one request on a kept connection. It returns the status of the
// answer or how the connection ended, and whether the answer closes it.
func submit(b *bed, conn net.Conn, reader *bufio.Reader, lane int, path string) (how string, closes bool) {
	id, body := b.newID(), fmt.Sprintf("guess of team %d", lane)
	b.log("client %d: sends %s POST %s", lane, id, path)
	_ = conn.SetDeadline(time.Now().Add((budgetMs + 500) * time.Millisecond))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nHickoryroute-Request-Id: %s\r\nHickoryroute-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", path, callerHost, id, budgetMs, len(body), body); err != nil {
		return "unsent: " + err.Error(), true
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		b.log("client %d: %s: connection ended without an answer: %v", lane, id, err)
		return "cut: " + err.Error(), true
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.log("client %d: %s: connection ended within the answer: %v", lane, id, err)
		return "cut: " + err.Error(), true
	}
	b.log("client %d: %s answered %d, Connection: close %v", lane, id, resp.StatusCode, resp.Close)
	return fmt.Sprint(resp.StatusCode), resp.Close
}
