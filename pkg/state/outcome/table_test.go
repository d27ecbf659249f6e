package outcome

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hickoryroute/pkg/protocol"
)

const service = "hold-svc"

var secret = []byte("0123456789abcdef")

func newTable(cfg Config) (*Issuer, *Table) {
	issuer := NewIssuer(IssuerConfig{Address: "127.0.0.1:7000", Incarnation: 0x1f, Secret: secret})
	return issuer, NewTable(issuer, cfg)
}

func answeredReply(body string) protocol.ExecuteReply {
	return protocol.ExecuteReply{Outcome: protocol.OutcomeAnswered, Status: 200, Body: []byte(body)}
}

func countingRun(reply protocol.ExecuteReply, runs *int) RunFunc {
	return func(context.Context) protocol.ExecuteReply {
		*runs++
		return reply
	}
}

var fingerprintA = NewFingerprint(service, "POST", "/holds", []byte("a"))

// Guards against two requests that share a fingerprint because their parts
// concatenate to the same text.
func TestFingerprintSeparatesParts(t *testing.T) {
	assert.Assert(t, NewFingerprint("a", "b", "c", nil) != NewFingerprint("ab", "", "c", nil))
	assert.Assert(t, NewFingerprint("a", "b", "c", []byte("1")) != NewFingerprint("a", "b", "c", nil))
}

// Guards against runs under forged tickets and under tickets of another
// incarnation or service.
func TestInvalidTicketsAreRefused(t *testing.T) {
	issuer, table := newTable(Config{})
	good := issuer.Issue(service)
	other := NewIssuer(IssuerConfig{Address: "127.0.0.1:7000", Incarnation: 0x20, Secret: secret})
	runs := 0
	for _, ticket := range []string{
		"", "x", good + "0", strings.Replace(good, "~1~", "~2~", 1), strings.Replace(good, "~1f~", "~01f~", 1),
		other.Issue(service), issuer.Issue("catalog-svc"), strings.ToUpper(good),
	} {
		r := table.Execute(context.Background(), ticket, service, fingerprintA, countingRun(answeredReply("x"), &runs))
		assert.Equal(t, r.Outcome, protocol.OutcomeNotRun, ticket)
		assert.Equal(t, r.Problem.Code, protocol.CodeBadTicket)
	}
	assert.Equal(t, runs, 0)
}

// Guards against a second run, a response that is lost because the first caller
// disconnected, and a run of another request under the same ticket.
func TestResendGetsTheResponseOfTheFirstRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer, table := newTable(Config{})
		ticket := issuer.Issue(service)
		runs := 0
		run := func(ctx context.Context) protocol.ExecuteReply {
			runs++
			deadline, ok := ctx.Deadline()
			assert.Assert(t, ok && time.Until(deadline) <= 5*time.Second)
			time.Sleep(2 * time.Second)
			assert.NilError(t, ctx.Err())
			return answeredReply("held")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		time.AfterFunc(time.Second, cancel)
		first := table.Execute(ctx, ticket, service, fingerprintA, run)
		assert.Equal(t, first.Outcome, protocol.OutcomeUnknown)
		printB := NewFingerprint(service, "POST", "/holds", []byte("b"))
		wrong := table.Execute(context.Background(), ticket, service, printB, run)
		assert.Equal(t, wrong.Problem.Code, protocol.CodeTicketReused)
		assert.Equal(t, wrong.Outcome, protocol.OutcomeNotRun)
		assert.Equal(t, table.Query(ticket, service).Outcome, protocol.OutcomeUnknown)
		for range 2 {
			again := table.Execute(context.Background(), ticket, service, fingerprintA, run)
			assert.Equal(t, string(again.Body), "held")
		}
		assert.Equal(t, string(table.Query(ticket, service).Body), "held")
		assert.Equal(t, runs, 1)
	})
}

// Guards against runs after expiry, even after the entry was removed, and
// against entries that are never removed.
func TestExpiryAndSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer, table := newTable(Config{})
		used, unused := issuer.Issue(service), issuer.Issue(service)
		runs := 0
		table.Execute(context.Background(), used, service, fingerprintA, countingRun(answeredReply("x"), &runs))
		time.Sleep(DefaultLifetime)
		table.Sweep()
		kept := table.Execute(context.Background(), used, service, fingerprintA, countingRun(answeredReply("y"), &runs))
		assert.Equal(t, string(kept.Body), "x")
		late := table.Execute(context.Background(), unused, service, fingerprintA, countingRun(answeredReply("y"), &runs))
		assert.Equal(t, late.Problem.Code, protocol.CodeTicketExpired)
		assert.Equal(t, late.Outcome, protocol.OutcomeUnknown)
		time.Sleep(DefaultRetain + time.Millisecond)
		table.Sweep()
		assert.Equal(t, table.Len(), 0)
		assert.Equal(t, table.Bytes(), int64(0))
		gone := table.Execute(context.Background(), used, service, fingerprintA, countingRun(answeredReply("y"), &runs))
		assert.Equal(t, gone.Problem.Code, protocol.CodeTicketExpired)
		assert.Equal(t, runs, 1)
	})
}

// Guards against a copy that gets not_run although its ticket can no longer be
// used, and against a run by a late copy after a query has reported not_run.
func TestNotRunAndQuery(t *testing.T) {
	issuer, table := newTable(Config{})
	ticket := issuer.Issue(service)
	runs := 0
	shed := notRunReply(503, protocol.CodeTargetRefused, "shed", "retry")
	r := table.Execute(context.Background(), ticket, service, fingerprintA, countingRun(shed, &runs))
	assert.Equal(t, r.Outcome, protocol.OutcomeNotRun)
	r = table.Execute(context.Background(), ticket, service, fingerprintA, countingRun(answeredReply("x"), &runs))
	assert.Equal(t, r.Outcome, protocol.OutcomeAnswered)

	closed := issuer.Issue(service)
	assert.Equal(t, table.Query(closed, service).Outcome, protocol.OutcomeNotRun)
	r = table.Execute(context.Background(), closed, service, fingerprintA, countingRun(answeredReply("x"), &runs))
	assert.Equal(t, r.Outcome, protocol.OutcomeNotRun)
	assert.Equal(t, runs, 2)

	shedFirst := issuer.Issue(service)
	table.Execute(context.Background(), shedFirst, service, fingerprintA, countingRun(shed, &runs))
	assert.Equal(t, table.Query(shedFirst, service).Outcome, protocol.OutcomeNotRun)
	r = table.Execute(context.Background(), shedFirst, service, fingerprintA, countingRun(answeredReply("x"), &runs))
	assert.Equal(t, r.Outcome, protocol.OutcomeNotRun)
	assert.Equal(t, runs, 3)
}

// Guards against the removal of an entry whose run outlasts its ticket: its
// response would be lost and its memory counted wrongly.
func TestSweepKeepsRunningEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := NewIssuer(IssuerConfig{Address: "a", Secret: secret, Lifetime: time.Second})
		table := NewTable(issuer, Config{Retain: time.Second})
		ticket := issuer.Issue(service)
		run := func(context.Context) protocol.ExecuteReply { time.Sleep(5 * time.Second); return answeredReply("x") }
		go table.Execute(context.Background(), ticket, service, fingerprintA, run)
		time.Sleep(4 * time.Second)
		table.Sweep()
		r := table.Execute(context.Background(), ticket, service, fingerprintA, run)
		assert.Equal(t, string(r.Body), "x")
		table.Sweep()
		assert.Equal(t, table.Bytes(), int64(0))
	})
}

// Guards against unbounded growth: new tickets are refused, and requests whose
// response does not fit are reported as unknown instead of being run again.
func TestTableLimits(t *testing.T) {
	runs := 0
	execute := func(issuer *Issuer, table *Table, ticket string, size int) protocol.ExecuteReply {
		return table.Execute(context.Background(), ticket, service, fingerprintA, countingRun(answeredReply(strings.Repeat("x", size)), &runs))
	}
	issuer, table := newTable(Config{MaxEntries: 2})
	for i, want := range []protocol.Outcome{protocol.OutcomeAnswered, protocol.OutcomeAnswered, protocol.OutcomeNotRun} {
		assert.Equal(t, execute(issuer, table, issuer.Issue(service), 1).Outcome, want, "request %d", i)
	}
	issuer, table = newTable(Config{MaxBytes: 300 << 10})
	large := issuer.Issue(service)
	assert.Equal(t, len(execute(issuer, table, large, 256<<10+1).Body), 256<<10+1)
	assert.Equal(t, execute(issuer, table, large, 1).Problem.Code, protocol.CodeResponseNotKept)
	assert.Equal(t, execute(issuer, table, issuer.Issue(service), 230<<10).Outcome, protocol.OutcomeAnswered)
	assert.Equal(t, execute(issuer, table, issuer.Issue(service), 1).Problem.Code, protocol.CodeNoRoom)
}

// Guards against a run that starts after its deadline because the VM was
// frozen, and against copies that wait forever after a run panicked.
func TestDeadlineAndPanic(t *testing.T) {
	issuer, table := newTable(Config{})
	runs := 0
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := table.Execute(ctx, issuer.Issue(service), service, fingerprintA, countingRun(answeredReply("x"), &runs))
	assert.Equal(t, r.Outcome, protocol.OutcomeNotRun)
	assert.Equal(t, runs, 0)
	ticket := issuer.Issue(service)
	for range 2 {
		r = table.Execute(context.Background(), ticket, service, fingerprintA, func(context.Context) protocol.ExecuteReply { runs++; panic("fault") })
		assert.Equal(t, r.Outcome, protocol.OutcomeUnknown)
	}
	assert.Equal(t, runs, 1)
}

// Guards against not_run for a ticket that ran or that may be missing from the
// list, and against batches that are too large for the platform to store.
func TestBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer, table := newTable(Config{})
		runs := 0
		old := issuer.Issue(service)
		table.Execute(context.Background(), old, service, fingerprintA, countingRun(answeredReply("old"), &runs))
		time.Sleep(DefaultLifetime + DefaultRetain + time.Millisecond)
		table.Sweep()
		var tickets []string
		for range 20 {
			tk := issuer.Issue(service)
			tickets = append(tickets, tk)
			table.Execute(context.Background(), tk, service, fingerprintA, countingRun(answeredReply(strings.Repeat("x", 250<<10)), &runs))
		}
		running, unused := issuer.Issue(service), issuer.Issue(service)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		go table.Execute(ctx, running, service, fingerprintA, func(ctx context.Context) protocol.ExecuteReply {
			<-ctx.Done()
			return answeredReply("late")
		})
		synctest.Wait()
		batches, err := table.Export()
		assert.NilError(t, err)
		for _, b := range batches {
			assert.Assert(t, len(b) < MaxBatchBytes)
		}
		refused := table.Execute(context.Background(), unused, service, fingerprintA, countingRun(answeredReply("x"), &runs))
		assert.Equal(t, refused.Problem.Code, protocol.CodeStopping)
		reader, err := NewReader(batches)
		assert.NilError(t, err)
		assert.Assert(t, reader.Complete())
		for _, tk := range tickets {
			assert.Equal(t, len(reader.Lookup(tk, fingerprintA).Body), 250<<10)
		}
		printB := NewFingerprint(service, "POST", "/other", nil)
		assert.Equal(t, reader.Lookup(tickets[0], printB).Problem.Code, protocol.CodeTicketReused)
		assert.Equal(t, reader.Lookup(running, fingerprintA).Outcome, protocol.OutcomeUnknown)
		assert.Equal(t, reader.Lookup(unused, fingerprintA).Outcome, protocol.OutcomeNotRun)
		assert.Equal(t, reader.Lookup(old, fingerprintA).Outcome, protocol.OutcomeUnknown)

		partial, err := NewReader(batches[1:])
		assert.NilError(t, err)
		assert.Equal(t, partial.Lookup(unused, fingerprintA).Outcome, protocol.OutcomeUnknown)
		_, err = NewReader([][]byte{bytes.Repeat([]byte{7}, 30)})
		assert.ErrorIs(t, err, ErrInvalidBatch)
		time.Sleep(2 * time.Second) // lets the run end at its deadline
	})
}

// model counts the runs of one ticket.
type model struct {
	inRun, runs int
	final       bool // a run ended as answered or unknown
	sealed      bool
	response    string
}

// Guards, under any interleaving of copies, cancellations, expiry, sweeps,
// queries and sealing, against concurrent runs, a run after one that ended as
// answered or unknown, a run after the table was sealed, and copies with
// different responses.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { runInterleaving(rt) })
	})
}

func runInterleaving(rt *rapid.T) {
	issuer, table := newTable(Config{})
	ticket := issuer.Issue(service)
	expiry := time.Now().Add(DefaultLifetime)
	m := &model{}
	results := make(chan protocol.ExecuteReply, 100)
	copies := rapid.IntRange(1, 12).Draw(rt, "copies")
	for range copies {
		delay := time.Duration(rapid.IntRange(0, 20).Draw(rt, "gap")) * 100 * time.Millisecond
		if rapid.IntRange(0, 19).Draw(rt, "long gap") == 0 {
			delay += 6 * time.Minute
		}
		time.Sleep(delay)
		limit := time.Duration(rapid.IntRange(1, 40).Draw(rt, "limit")) * 100 * time.Millisecond
		took := time.Duration(rapid.IntRange(0, 30).Draw(rt, "took")) * 100 * time.Millisecond
		outcome := rapid.SampledFrom([]protocol.Outcome{protocol.OutcomeAnswered, protocol.OutcomeNotRun, protocol.OutcomeUnknown}).Draw(rt, "outcome")
		switch rapid.IntRange(0, 15).Draw(rt, "event") {
		case 0:
			table.Seal()
			m.sealed = true
		case 1:
			table.Sweep()
		case 2:
			if r := table.Query(ticket, service); r.Outcome == protocol.OutcomeNotRun {
				m.sealed = true
			}
		}
		sealed := m.sealed
		run := func(context.Context) protocol.ExecuteReply {
			if m.inRun > 0 || m.final || sealed || !time.Now().Before(expiry) {
				rt.Fatalf("run %d: in run %d, final %v, sealed %v", m.runs, m.inRun, m.final, sealed)
			}
			m.inRun++
			m.runs++
			time.Sleep(took)
			m.inRun--
			reply := protocol.ExecuteReply{Outcome: outcome, Body: []byte{byte(m.runs)}}
			m.final = m.final || outcome != protocol.OutcomeNotRun
			if outcome == protocol.OutcomeAnswered {
				m.response = string(reply.Body)
			}
			return reply
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		go func() {
			defer cancel()
			results <- table.Execute(ctx, ticket, service, fingerprintA, run)
		}()
		synctest.Wait()
	}
	for range copies {
		if r := <-results; r.Outcome == protocol.OutcomeAnswered && string(r.Body) != m.response {
			rt.Fatalf("response %q, the run returned %q", r.Body, m.response)
		}
	}
	time.Sleep(time.Minute)
	checkExport(rt, table, ticket, m)
}

// checkExport checks the exported outcome against the runs that the model
// counted.
func checkExport(rt *rapid.T, table *Table, ticket string, m *model) {
	batches, err := table.Export()
	if err != nil {
		rt.Fatal(err)
	}
	reader, err := NewReader(batches)
	if err != nil {
		rt.Fatal(err)
	}
	if r := reader.Lookup(ticket, fingerprintA); m.final && r.Outcome == protocol.OutcomeNotRun {
		rt.Fatalf("the list reports not_run after %d runs", m.runs)
	}
}

// FuzzParse guards against accepted tickets in a form that the issuer does not
// write.
func FuzzParse(f *testing.F) {
	issuer, _ := newTable(Config{})
	f.Add(issuer.Issue(service))
	f.Add("a~1~-5~7~00112233445566778899aabbccddeeff")
	f.Fuzz(func(t *testing.T, text string) {
		if tk, err := Parse(text); err == nil {
			assert.Equal(t, tk.String(), text)
		}
	})
}

// FuzzReader guards against batches that crash the reader.
func FuzzReader(f *testing.F) {
	issuer, table := newTable(Config{})
	ticket := issuer.Issue(service)
	runs := 0
	table.Execute(context.Background(), ticket, service, fingerprintA, countingRun(answeredReply("x"), &runs))
	batches, err := table.Export()
	assert.NilError(f, err)
	f.Add(batches[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := NewReader([][]byte{data}); err == nil {
			r.Lookup(ticket, fingerprintA)
		}
	})
}
