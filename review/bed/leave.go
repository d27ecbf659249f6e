package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hickoryroute/platform/standin"
)

func init() { cases["leave"] = leave }

const (
	// leaveShare and leaveTime are the dose of the impairment give_up: this share
	// of the clients leaves this long after it has sent its request.
	leaveShare = 0.3
	leaveTime  = 600 * time.Millisecond
	leaveFor   = 5 * time.Second
	mapBytes   = 90_000
	mapsPerS   = 20
	quietPerS  = 4
	// phoneRate is the rate at which a phone gets an answer, in bytes a second.
	phoneRate = 400_000
)

// phoneDialer opens connections like those of a phone: small packets and a small
// window.
var phoneDialer = net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2304)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1400)
	})
}}

// tally counts the requests of a phase by outcome.
type tally struct {
	mu                                      sync.Mutex
	sent, left, served, refused, failed, no int
}

// leave lets clients leave while an answer is on its way to them.
func leave(b *bed) {
	b.publish(7, 13, routeRow{name: "clue-read", prefix: "/clues/", kind: "safe", service: "cluebook", timeoutMs: 3000, goalMs: 400, priority: 2, sticky: false})
	for n := range 2 {
		i := b.newInstance(fmt.Sprintf("i-%d", n+1), "cluebook", []string{"za", "zb"}[n], 6, 250*time.Millisecond)
		i.bodyBytes = mapBytes
		i.register()
	}
	f := b.newFront("front-za-1", "za")
	f.start()
	f.awaitReady()
	time.Sleep(time.Second)

	// Five times, some clients leave for five seconds; the last two times are in
	// a quiet hour. The share is never above leaveShare.
	phases := []struct {
		name    string
		length  time.Duration
		perS    int
		leaving bool
	}{
		{"before", 2 * time.Second, mapsPerS, false},
		{"clients leave", leaveFor, mapsPerS, true}, {"between", 3 * time.Second, mapsPerS, false},
		{"clients leave", leaveFor, mapsPerS, true}, {"between", 3 * time.Second, mapsPerS, false},
		{"clients leave", leaveFor, mapsPerS, true}, {"quiet hour", 4 * time.Second, quietPerS, false},
		{"clients leave", leaveFor, quietPerS, true}, {"quiet hour", 3 * time.Second, quietPerS, false},
		{"clients leave", leaveFor, quietPerS, true}, {"quiet hour", 4 * time.Second, quietPerS, false},
		{"after", 45 * time.Second, mapsPerS, false},
	}
	random := rand.New(rand.NewPCG(1, 2))
	tallies := make([]tally, len(phases))
	var requests sync.WaitGroup
	for n, p := range phases {
		sent, left := 0.0, 0.0
		for began := time.Now(); time.Since(began) < p.length; time.Sleep(time.Second / time.Duration(p.perS)) {
			sent++
			leaves := p.leaving && b.trouble && random.Float64() < 2*leaveShare && left+1 <= leaveShare*sent
			if leaves {
				left++
			}
			requests.Add(1)
			go func() {
				defer requests.Done()
				fetchMap(b, f, &tallies[n], leaves)
			}()
		}
	}
	requests.Wait()
	var all tally
	for n := range tallies {
		t := &tallies[n]
		b.log("%s: sent %d, left %d, served %d, refused %d, failed %d, no answer %d", phases[n].name, t.sent, t.left, t.served, t.refused, t.failed, t.no)
		all.sent, all.left, all.served = all.sent+t.sent, all.left+t.left, all.served+t.served
		all.refused, all.failed, all.no = all.refused+t.refused, all.failed+t.failed, all.no+t.no
	}
	b.log("ready says %v", standin.Ready(f.ready))
	if owed := all.sent - all.left; float64(all.refused+all.failed+all.no) > 0.6*float64(owed) {
		after := &tallies[len(tallies)-1]
		b.breaks("of %d requests owed, %d were refused and %d failed; of the %d after the last client left, %d were served",
			owed, all.refused, all.failed+all.no, after.sent, after.served)
	}
}

// fetchMap is one request of a phone, on a new connection.
func fetchMap(b *bed, f *front, t *tally, leaves bool) {
	id, began := b.newID(), time.Now()
	t.mu.Lock()
	t.sent++
	t.mu.Unlock()
	how, count := fetch(f, id, leaves), (*int)(nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch how {
	case "left":
		count = &t.left
	case "200":
		count = &t.served
	case "503":
		count = &t.refused
	case "502", "504":
		count = &t.failed
	default:
		count = &t.no
	}
	*count++
	b.log("client: %s %s after %d ms", id, how, time.Since(began).Milliseconds())
}

// fetch returns the status of a request, "left" if the client has left, or what
// was wrong.
func fetch(f *front, id string, leaves bool) string {
	conn, err := phoneDialer.DialContext(context.Background(), "tcp", f.caller)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	began := time.Now()
	_ = conn.SetDeadline(began.Add(4 * time.Second))
	if _, err = fmt.Fprintf(conn, "GET /clues/map HTTP/1.1\r\nHost: %s\r\nHickoryroute-Request-Id: %s\r\nHickoryroute-Deadline-Ms: 3000\r\n\r\n", callerHost, id); err != nil {
		return err.Error()
	}
	if leaves { // nothing reaches the phone any more, and it gives up
		time.Sleep(leaveTime)
		return "left"
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 1024), nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body := make([]byte, 0, mapBytes)
	piece := make([]byte, phoneRate/100)
	for err == nil {
		var n int
		n, err = io.ReadFull(resp.Body, piece)
		body = append(body, piece[:n]...)
		time.Sleep(10 * time.Millisecond)
	}
	if err != io.EOF && err != io.ErrUnexpectedEOF {
		return err.Error()
	}
	if resp.StatusCode == http.StatusOK && string(body) != string(makeBody(id, mapBytes)) {
		return "wrong body"
	}
	return fmt.Sprint(resp.StatusCode)
}
