package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["late"] = late }

const (
	lateWork  = 2 * time.Second
	lateBody  = 60_000
	lateCount = 8
	lateEvery = 250 * time.Millisecond
)

// lateInstance is a stand-in for an instance with a small window. It answers
// lateWork after it has got the head of a request, and it reads the body either
// at once or at the end of that time.
type lateInstance struct {
	bed      *bed
	id       string
	readLate bool

	mu       sync.Mutex
	running  map[string]bool // true while the request is worked on
	brokeOff map[string]bool
}

func (b *bed) newLateInstance(id, zone string, readLate bool) *lateInstance {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16384)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", b.newIP()+":8080")
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	i := &lateInstance{bed: b, id: id, readLate: readLate, running: map[string]bool{}, brokeOff: map[string]bool{}}
	b.onClose(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go i.serve(conn)
		}
	}()
	b.store.Put("servers/"+id, fmt.Sprintf(
		`{"service":"answer-desk","address":%q,"zone":%q,"version":"v1","slots":4,"state":"ready","cold_left_ms":0,"sequence":1,"born":%d}`,
		listener.Addr().String(), zone, time.Now().UnixMilli()))
	return i
}

func (i *lateInstance) setRunning(id string, running bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running[id] = running
}

// worksOn reports whether the instance began a request and has not ended it.
func (i *lateInstance) worksOn(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.running[id]
}

func (i *lateInstance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 4096)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Hickoryroute-Request-Id")
		i.bed.log("%s: runs %s", i.id, id)
		i.setRunning(id, true)
		began := time.Now()
		if !i.readLate {
			_, err = io.Copy(io.Discard, r.Body)
		}
		time.Sleep(time.Until(began.Add(lateWork)))
		if i.readLate {
			_, err = io.Copy(io.Discard, r.Body)
		}
		i.setRunning(id, false)
		if err != nil {
			i.bed.log("%s: %s was broken off by the front: %v", i.id, id, err)
			return
		}
		body := "done " + id
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHickoryroute-Request-Id: %s\r\nHickoryroute-Server-Stamp: stamp.%s.%s\r\nHickoryroute-Server-Load: 1,0,4,100\r\nContent-Length: %d\r\n\r\n%s", id, i.id, id, len(body), body)
		i.bed.log("%s: answers %s, error %v", i.id, id, err)
	}
}

// late stops an entry VM as planned while instances read long bodies late.
func late(b *bed) {
	b.publish(7, 13, routeRow{name: "answer-submit", prefix: "/answers/", kind: "unsafe", service: "answer-desk", timeoutMs: 4000, goalMs: 600, priority: 1})
	var instances []*lateInstance
	for n := range 6 {
		instances = append(instances, b.newLateInstance(fmt.Sprintf("i-%d", n+1), []string{"za", "zb"}[n%2], b.trouble))
	}
	f, other := b.newFront("front-za-1", "za"), b.newFront("front-zb-1", "zb")
	f.start()
	other.start()
	f.awaitReady()
	other.awaitReady()
	time.Sleep(4 * time.Second)

	term := time.Now()
	f.signal(syscall.SIGTERM)
	var requests sync.WaitGroup
	for range lateCount {
		time.Sleep(lateEvery)
		requests.Add(1)
		go func() {
			defer requests.Done()
			lateRequest(b, f, instances, term)
		}()
	}
	requests.Wait()
	<-f.exited
	b.log("%s: ended %.3f s after SIGTERM", f.name, f.exitedAt.Sub(term).Seconds())
}

// lateRequest sends one request with a long body on a new connection.
func lateRequest(b *bed, f *front, instances []*lateInstance, term time.Time) {
	id, sent := b.newID(), time.Now()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.caller+"/answers/photo", strings.NewReader(strings.Repeat("x", lateBody)))
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	req.Host = callerHost
	req.GetBody = nil // keeps the client from sending the request again
	req.Header.Set("Hickoryroute-Request-Id", id)
	req.Header.Set("Hickoryroute-Deadline-Ms", "4000")
	b.log("client: sends %s, %.3f s after SIGTERM", id, sent.Sub(term).Seconds())
	resp, err := client.Do(req)
	ended := time.Now()
	how := fmt.Sprint(err)
	own := err != nil
	if err == nil {
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		own = resp.Header.Get("Hickoryroute-Server-Stamp") == ""
		how = fmt.Sprintf("%d %q", resp.StatusCode, text)
	}
	b.log("client: %s ends after %.3f s: %s", id, ended.Sub(sent).Seconds(), how)
	if !b.trouble && own {
		b.cannot("%s got %s without the disruption", id, how)
	}
	for _, i := range instances {
		if own && i.worksOn(id) {
			b.breaks("request sent %.3f s after SIGTERM was broken off %.3f s later while %s was at work on it, and answered %s", sent.Sub(term).Seconds(), ended.Sub(sent).Seconds(), i.id, how)
		}
	}
}
