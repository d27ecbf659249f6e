package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["early"] = early }

const (
	// earlyRounds is the number of uploads, each on a connection of its own.
	earlyRounds = 20
	// firstPart is the part of an upload that is sent before the upload pauses.
	firstPart   = 80_000
	uploadPause = 500 * time.Millisecond
)

// deskInstance is a stand-in for an instance that may answer a long request
// before it has read all of it. It then keeps the connection and reads on.
type deskInstance struct {
	bed      *bed
	id       string
	early    bool
	listener net.Listener

	mu   sync.Mutex
	runs []string // the ids of the requests that ran
}

func (b *bed) newDeskInstance(id, service string, early bool) *deskInstance {
	listener, err := net.Listen("tcp", b.newIP()+":8080")
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	d := &deskInstance{bed: b, id: id, early: early, listener: listener}
	b.onClose(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	b.store.Put("servers/"+id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"za","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"sequence":1,"born":%d}`,
		service, listener.Addr().String(), time.Now().UnixMilli()))
	return d
}

func (d *deskInstance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Hickoryroute-Request-Id")
		if expected := r.Header.Get("Hickoryroute-Expect-Instance"); expected != "" && expected != d.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nHickoryroute-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", d.id)
			return
		}
		d.mu.Lock()
		d.runs = append(d.runs, id)
		d.mu.Unlock()
		d.bed.log("%s: runs %s %s %s", d.id, id, r.Method, r.URL.Path)
		if d.early {
			time.Sleep(50 * time.Millisecond)
			d.answer(conn, id)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			d.bed.log("%s: the rest of the body of %s does not come: %v", d.id, id, err)
			return
		}
		if !d.early {
			d.answer(conn, id)
		}
	}
}

func (d *deskInstance) answer(conn net.Conn, id string) {
	body := "done " + id
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHickoryroute-Request-Id: %s\r\nHickoryroute-Server-Stamp: stamp.%s.%s\r\nHickoryroute-Server-Load: 1,0,4,100\r\nContent-Length: %d\r\n\r\n%s", id, d.id, id, len(body), body)
	d.bed.log("%s: answers %s, error %v", d.id, id, err)
}

// early lets an instance answer uploads before it has read all of them.
func early(b *bed) {
	b.publish(7, 13,
		routeRow{name: "answer-submit", prefix: "/answers/", kind: "unsafe", service: "answer-desk", timeoutMs: 4000, goalMs: 600, priority: 1},
		routeRow{name: "hint-redeem", prefix: "/hints/", kind: "unsafe", service: "hint-bank", timeoutMs: 2000, goalMs: 300, priority: 0})
	b.newDeskInstance("i-desk", "answer-desk", b.trouble)
	bank := b.newDeskInstance("i-bank", "hint-bank", false)
	f := b.newFront("front-za-1", "za")
	f.start()
	f.awaitReady()
	time.Sleep(time.Second)

	foreign, denied, answered := 0, 0, 0
	for n := range earlyRounds {
		switch uploadAndAsk(b, f, n%2 == 0) {
		case "foreign":
			foreign++
		case "denied":
			denied++
		case "answered":
			answered++
		}
	}
	requests := 2 * earlyRounds
	b.log("%d requests, %d answered with the answer of another request, %d denied with a 400", requests, foreign, denied)
	if !b.trouble && answered < earlyRounds {
		b.cannot("%d of %d pairs of requests were answered", answered, earlyRounds)
	}
	if foreign > 0 {
		b.breaks("MIXED: %d requests were answered with an answer that belongs to another request", foreign)
	}
	if float64(denied) > 5+float64(requests)/500 {
		b.breaks("DENIED: %d of %d requests were ended with a 400 though they are proper", denied, requests)
	}
	bank.mu.Lock()
	defer bank.mu.Unlock()
	for _, id := range bank.runs {
		if strings.HasPrefix(id, "quoted-") {
			b.breaks("UNASKED: instance i-bank ran %s", id)
		}
	}
}

// uploadAndAsk is one client: it sends a log in chunks, with a stall on the way,
// and its next request right after it on the same connection. If quotes is true,
// what follows the stall is the text of a request that stands in the log. It
// returns "answered" if both requests got their answers.
func uploadAndAsk(b *bed, f *front, quotes bool) string {
	conn, err := net.Dial("tcp", f.caller)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	id, next := b.newID(), b.newID()
	line := "a line of the team's log file\r\n"
	text := strings.Repeat(line, firstPart/len(line)+1)[:firstPart]
	first, rest := chunk(text), chunk(strings.Repeat(line, 100))
	if quotes {
		quoted := fmt.Sprintf("PUT /hints/7 HTTP/1.1\r\nHost: %s\r\nHickoryroute-Request-Id: quoted-%s\r\nHickoryroute-Deadline-Ms: 2000\r\nContent-Length: 6\r\n\r\nhint 7\r\n", callerHost, id)
		whole := chunk(text + quoted)
		first, rest = strings.TrimSuffix(whole, quoted+"\r\n"), quoted+"\r\n"
	}
	reader := bufio.NewReader(conn)
	b.log("client: sends %s POST /answers/log, chunked, stalls after %d bytes", id, len(first))
	if _, err = fmt.Fprintf(conn, "POST /answers/log HTTP/1.1\r\nHost: %s\r\nHickoryroute-Request-Id: %s\r\nHickoryroute-Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n%s", callerHost, id, first); err != nil {
		return err.Error()
	}
	answers := make(chan answer, 4)
	go readAnswers(reader, answers)
	second := fmt.Sprintf("PUT /hints/3 HTTP/1.1\r\nHost: %s\r\nHickoryroute-Request-Id: %s\r\nHickoryroute-Deadline-Ms: 2000\r\nContent-Length: 6\r\n\r\nhint 3", callerHost, next)
	rest += "0\r\n\r\n"
	time.Sleep(uploadPause)
	var one answer
	select {
	case one = <-answers: // the answer has come during the stall
		b.log("client: %s is answered %s", id, one)
		_, err = io.WriteString(conn, rest+second)
		b.log("client: sends the rest of %s, and %s PUT /hints/3, error %v", id, next, err)
	default:
		_, err = io.WriteString(conn, rest)
		b.log("client: sends the rest of %s, error %v", id, err)
		one = <-answers
		b.log("client: %s is answered %s", id, one)
		if one.err == nil && !one.closes {
			_, err = io.WriteString(conn, second)
			b.log("client: sends %s PUT /hints/3, error %v", next, err)
		}
	}
	if one.err != nil || one.closes || one.id != id {
		return "none"
	}
	two := <-answers
	b.log("client: %s is answered %s", next, two)
	switch {
	case two.err != nil:
		return "none"
	case two.id != "" && two.id != next:
		return "foreign"
	case two.status == http.StatusBadRequest:
		return "denied"
	}
	return "answered"
}

// answer is one answer that came on a connection.
type answer struct {
	status int
	id     string
	body   string
	closes bool
	err    error
}

func (a answer) String() string {
	return fmt.Sprintf("%d, id %q, %q, Connection: close %v, error %v", a.status, a.id, a.body, a.closes, a.err)
}

// readAnswers reads the answers on a connection until it ends.
func readAnswers(reader *bufio.Reader, answers chan<- answer) {
	for {
		var a answer
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			a = answer{resp.StatusCode, resp.Header.Get("Hickoryroute-Request-Id"), string(body), resp.Close, nil}
		}
		a.err = err
		select {
		case answers <- a:
		default: // nobody waits for more
		}
		if err != nil {
			return
		}
	}
}

// chunk returns one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
