package caller

import (
	"context"
	"errors"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

// testWithFleet runs test with a fleet in virtual time and closes the fleet
// afterwards.
func testWithFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet("vm1", "vm2", "vm3")
		test(t, fl)
		fl.close()
	})
}

func post(c *Client, body string) (*Response, *Error) {
	a, err := c.Do(context.Background(), "hold-svc", "POST", "/holds", []byte(body))
	var e *Error
	if err != nil && !errors.As(err, &e) {
		panic(err)
	}
	return a, e
}

// Guards against a lookup for each request, against ticketed requests that go
// to another VM than the issuer first, and against changed responses.
func TestLookupsAreCachedAndTicketsGoToTheirIssuer(t *testing.T) {
	testWithFleet(t, func(t *testing.T, f *fleet) {
		c := f.client(Config{})
		defer c.Close()
		for i := range 20 {
			a, e := post(c, strconv.Itoa(i))
			assert.Assert(t, e == nil, "%v", e)
			assert.Equal(t, string(a.Body), "response to "+strconv.Itoa(i))
			assert.Equal(t, a.Entry, "vm1")
			assert.Equal(t, a.Attempts, 1)
		}
		assert.Equal(t, f.lookups, 1)
		assert.Equal(t, len(f.dials), 1, "the connection is reused")
		time.Sleep(6 * time.Second)
		_, e := post(c, "later")
		assert.Assert(t, e == nil)
		assert.Equal(t, f.lookups, 2)
	})
}

// Guards against requests that fail because one entry VM or the issuer of unused
// tickets is down, and against a new ticket for a request that an issuer that
// went down may have run.
func TestEntryFailure(t *testing.T) {
	testWithFleet(t, func(t *testing.T, f *fleet) {
		c := f.client(Config{})
		defer c.Close()
		f.setDown("vm1", true)
		a, e := post(c, "a")
		assert.Assert(t, e == nil, "%v", e)
		assert.Equal(t, a.Entry, "vm2")
		dials := len(f.dials)
		_, err := c.Do(context.Background(), "hold-svc", "GET", "/holds", nil)
		assert.NilError(t, err)
		assert.Equal(t, len(f.dials), dials, "vm1 is avoided")
		f.setDown("vm2", true) // holds the unused tickets
		c.conns.CloseIdle("vm2")
		a, e = post(c, "c")
		assert.Assert(t, e == nil, "%v", e)
		assert.Equal(t, a.Entry, "vm3")

		f.runTime = time.Second // vm3 is the issuer now and goes down while it runs b
		time.AfterFunc(time.Second/2, func() { f.setDown("vm3", true); c.conns.CloseIdle("vm3") })
		c.conns.CloseIdle("vm3")
		f.wrapConn = func(n net.Conn) net.Conn { return &cutConn{Conn: n, writes: 1 << 20, reads: 20} }
		time.AfterFunc(time.Second/4, func() { f.setWrapConn(nil); f.setDown("vm1", false) })
		_, e = post(c, "b")
		assert.Equal(t, e.Outcome, protocol.OutcomeUnknown)
		assert.Assert(t, e.Ticket != "")
		f.setDown("vm3", false)
		a, err = c.Send(context.Background(), &Request{Service: "hold-svc", Method: "POST", Path: "/holds", Body: []byte("b"), Ticket: e.Ticket})
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "response to b")
		assert.Equal(t, f.runs["b"], 1)
	})
}

// Guards against a second run when the response of the first one is lost.
func TestResendAfterLostResponseGetsTheFirstRun(t *testing.T) {
	testWithFleet(t, func(t *testing.T, f *fleet) {
		c := f.client(Config{})
		defer c.Close()
		_, e := post(c, "first") // fills the caches of lookups and tickets
		assert.Assert(t, e == nil)
		c.conns.CloseIdle("vm1")
		f.runTime = time.Second
		f.wrapConn = func(n net.Conn) net.Conn { f.wrapConn = nil; return &cutConn{Conn: n, writes: 1 << 20, reads: 20} }
		a, e := post(c, "b")
		assert.Assert(t, e == nil, "%v", e)
		assert.Equal(t, string(a.Body), "response to b")
		assert.Equal(t, a.Entry, "vm2")
		assert.Equal(t, f.runs["b"], 1)
	})
}

// Guards against the use of tickets of an entry VM that is no longer listed.
func TestTicketsOfUnlistedIssuersAreDiscarded(t *testing.T) {
	testWithFleet(t, func(t *testing.T, f *fleet) {
		c := f.client(Config{Entries: []string{"vm2"}})
		defer c.Close()
		a, e := post(c, "a")
		assert.Assert(t, e == nil)
		assert.Equal(t, a.Entry, "vm1")
		f.order = []string{"vm2", "vm3"}
		time.Sleep(6 * time.Second)
		a, e = post(c, "b")
		assert.Assert(t, e == nil)
		assert.Equal(t, a.Entry, "vm2")
	})
}

// frozenConn accepts the request and never responds.
type frozenConn struct{ net.Conn }

func (c frozenConn) Write(p []byte) (int, error) { return len(p), nil }

// Guards against callers that spend their whole timeout on a frozen VM.
func TestFrozenEntryIsAbandoned(t *testing.T) {
	testWithFleet(t, func(t *testing.T, f *fleet) {
		c := f.client(Config{})
		defer c.Close()
		_, e := post(c, "first")
		assert.Assert(t, e == nil)
		c.conns.CloseIdle("vm1")
		f.wrapConn = func(n net.Conn) net.Conn { f.wrapConn = nil; return frozenConn{n} }
		start := time.Now()
		a, e := post(c, "b")
		assert.Assert(t, e == nil, "%v", e)
		assert.Equal(t, a.Entry, "vm2")
		assert.Assert(t, time.Since(start) < DefaultTimeout/2+time.Second)
	})
}

// Guards against callers that keep using a VM that is about to stop.
func TestLeavingEntryIsAbandoned(t *testing.T) {
	testWithFleet(t, func(t *testing.T, f *fleet) {
		c := f.client(Config{})
		defer c.Close()
		_, e := post(c, "a")
		assert.Assert(t, e == nil)
		f.vms["vm1"].server.SetLeaving()
		a, e := post(c, "b")
		assert.Assert(t, e == nil)
		assert.Equal(t, a.Entry, "vm1", "the lookup is still valid")
		a, e = post(c, "c")
		assert.Assert(t, e == nil)
		assert.Equal(t, a.Entry, "vm2")
	})
}

// Guards against resends beyond the budget while all requests are refused, and
// against refusals that are reported as unknown.
func TestResendBudget(t *testing.T) {
	testWithFleet(t, func(t *testing.T, f *fleet) {
		c := f.client(Config{})
		defer c.Close()
		executed := 0
		f.nextOutcome = func() protocol.Outcome { executed++; return protocol.OutcomeNotRun }
		for i := range 100 {
			_, e := post(c, strconv.Itoa(i))
			assert.Equal(t, e.Outcome, protocol.OutcomeNotRun)
		}
		assert.Assert(t, executed <= 100+10+maxSavedResends, "%d runs", executed)
		assert.Assert(t, executed >= 100+maxSavedResends, "%d runs", executed)
	})
}

// Guards against resends of requests that would get the same refusal again.
func TestFinalRefusalsAreNotResent(t *testing.T) {
	testWithFleet(t, func(t *testing.T, f *fleet) {
		c := f.client(Config{})
		defer c.Close()
		f.nextOutcome = func() protocol.Outcome { return protocol.OutcomeUnknown }
		_, e := post(c, "a")
		assert.Equal(t, e.Outcome, protocol.OutcomeUnknown)
		assert.Equal(t, e.Attempts, 1)
		_, err := c.Do(context.Background(), "Bad_Name", "GET", "/", nil)
		var bad *Error
		assert.Assert(t, errors.As(err, &bad))
		assert.Equal(t, bad.Attempts, 1)
		assert.Equal(t, bad.Outcome, protocol.OutcomeNotRun)
	})
}

// Guards against a second run of a ticketed request, the response to another
// request, and a wrong not_run, while connections break after any number of
// bytes, VMs are down and targets refuse requests.
func TestPropertyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { sendWithFaults(rt) })
	})
}

func sendWithFaults(rt *rapid.T) {
	f := newFleet("vm1", "vm2", "vm3")
	c := f.client(Config{Timeout: 4 * time.Second})
	draw := func(label string, limit int) int { return rapid.IntRange(0, limit).Draw(rt, label) }
	f.runTime = time.Duration(draw("took", 3)) * time.Second
	faults := rapid.SliceOfN(rapid.IntRange(0, 700), 0, 12).Draw(rt, "faults")
	f.wrapConn = func(n net.Conn) net.Conn {
		if len(faults) == 0 {
			return n
		}
		at := faults[0]
		faults = faults[1:]
		if at%2 == 0 {
			return &cutConn{Conn: n, writes: at, reads: 1 << 20}
		}
		return &cutConn{Conn: n, writes: 1 << 20, reads: at}
	}
	results := rapid.SliceOfN(rapid.SampledFrom([]protocol.Outcome{
		protocol.OutcomeAnswered, protocol.OutcomeAnswered, protocol.OutcomeNotRun, protocol.OutcomeUnknown,
	}), 1, 8).Draw(rt, "results")
	n := 0
	f.nextOutcome = func() protocol.Outcome { n++; return results[n%len(results)] }
	failed := map[string]protocol.Outcome{}
	for i := range 1 + draw("requests", 4) {
		f.setDown("vm"+strconv.Itoa(1+draw("vm", 2)), draw("down", 3) == 0)
		body := "request " + strconv.Itoa(i)
		a, e := post(c, body)
		if e != nil {
			failed[body] = e.Outcome
		} else if string(a.Body) != "response to "+body {
			rt.Fatalf("%q for %q", a.Body, body)
		}
	}
	time.Sleep(time.Minute)
	f.mu.Lock()
	for body, runs := range f.runs {
		if runs > 1 || failed[body] == protocol.OutcomeNotRun {
			rt.Fatalf("%d runs of %q, reported as %q", runs, body, failed[body])
		}
	}
	f.mu.Unlock()
	c.Close()
	f.close()
	synctest.Wait()
}
