package outcome

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickoryroute/pkg/protocol"
)

// Defaults of Config.
const (
	DefaultMaxEntries = 200_000
	DefaultMaxBytes   = 32 << 20
	DefaultRetain     = 5 * time.Minute
	// DefaultRunTimeout bounds a run whose context has no deadline.
	DefaultRunTimeout = protocol.MaxDeadlineMs * time.Millisecond

	sweepInterval = 10 * time.Second
	tableShards   = 64
	// entryOverheadBytes is the estimated cost of an entry without its answer.
	entryOverheadBytes = 400
	// headerOverheadBytes is the estimated cost of a header value besides its
	// text.
	headerOverheadBytes = 64
	// admitShare is the share of MaxBytes above which no new run starts. The
	// rest takes the answers of runs that have already started.
	admitShare = 0.75
)

// Config holds the settings of a Table.
type Config struct {
	// MaxEntries limits the tickets that were used and are still kept. Above
	// it new tickets are refused as not_run.
	MaxEntries int
	// MaxBytes limits the memory for answers. New tickets are refused from
	// three quarters of it; an answer that does not fit is not kept and its
	// ticket is later reported as unknown.
	MaxBytes int64
	// Retain is the time that an entry is kept after its ticket expired.
	Retain time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.Retain <= 0 {
		c.Retain = DefaultRetain
	}
	return c
}

// RunFunc runs a request once and reports its outcome. Its context ends at
// the deadline of the first caller, but not when that caller disconnects.
type RunFunc func(ctx context.Context) protocol.ExecuteReply

type entryState uint8

const (
	stateNew     entryState = iota // the last run ended as not_run
	stateRunning                   // one run is in progress
	stateDone                      // answered or unknown
	stateSealed                    // a query was told that it has not run
)

type entry struct {
	ticket Ticket
	print  Fingerprint
	state  entryState
	run    *run                  // while running
	reply  protocol.ExecuteReply // while done
	size   int64
}

// run is one execution. Copies that arrive meanwhile wait for done.
type run struct {
	done  chan struct{}
	reply protocol.ExecuteReply // valid after done
}

// Table decides about the tickets of one Issuer. It is sharded by ticket,
// each shard with its own lock.
type Table struct {
	issuer  *Issuer
	cfg     Config
	sealed  atomic.Bool
	entries atomic.Int64
	bytes   atomic.Int64
	shards  [tableShards]tableShard
}

type tableShard struct {
	mu      sync.Mutex
	entries map[uint64]*entry // by sequence
}

// NewTable returns an empty Table.
func NewTable(issuer *Issuer, cfg Config) *Table {
	t := &Table{issuer: issuer, cfg: cfg.withDefaults()}
	for i := range t.shards {
		t.shards[i].entries = map[uint64]*entry{}
	}
	return t
}

func (t *Table) shard(tk Ticket) *tableShard { return &t.shards[tk.Sequence%tableShards] }

// Execute runs the request under ticket, waits for a run that is in progress,
// or returns the recorded outcome. The run continues when ctx is cancelled, so
// that a later copy gets its answer; ctx must carry the deadline.
func (t *Table) Execute(ctx context.Context, ticket, service string, print Fingerprint, do RunFunc) protocol.ExecuteReply {
	tk, err := t.verify(ticket, service)
	if err != nil {
		return refuse(http.StatusBadRequest, protocol.CodeBadTicket, err.Error(), "take a new ticket")
	}
	r, reply := t.join(ctx, tk, print, do)
	if r == nil {
		return reply
	}
	select {
	case <-r.done:
		return r.reply
	case <-ctx.Done():
	}
	select {
	case <-r.done: // both ended at the same time
		return r.reply
	default:
		return unknown(http.StatusGatewayTimeout, protocol.CodeDeadlinePassed,
			"the request still runs", "ask again with the same ticket")
	}
}

func (t *Table) verify(ticket, service string) (Ticket, error) {
	tk, err := Parse(ticket)
	if err != nil {
		return tk, err
	}
	return tk, t.issuer.Verify(tk, service)
}

// join returns the run to wait for, or the reply if there is none.
func (t *Table) join(ctx context.Context, tk Ticket, print Fingerprint, do RunFunc) (*run, protocol.ExecuteReply) {
	s := t.shard(tk)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[tk.Sequence]
	if e != nil && e.print != print && e.state != stateSealed {
		return nil, reused()
	}
	if e != nil && e.state == stateRunning {
		return e.run, protocol.ExecuteReply{}
	}
	if e != nil && e.state == stateDone {
		return nil, e.reply
	}
	if e != nil && e.state == stateSealed {
		return nil, closedByQuery()
	}
	if reply, ok := t.admit(ctx, tk, e == nil); !ok {
		return nil, reply
	}
	if e == nil {
		e = &entry{ticket: tk, print: print}
		t.add(s, e)
	}
	e.state = stateRunning
	e.run = &run{done: make(chan struct{})}
	t.start(ctx, s, e, do)
	return e.run, protocol.ExecuteReply{}
}

// admit decides whether a new run may start.
func (t *Table) admit(ctx context.Context, tk Ticket, isNew bool) (protocol.ExecuteReply, bool) {
	switch {
	case t.issuer.nowMs() >= t.issuer.expiresMs(tk):
		return expired(), false
	case t.sealed.Load():
		return refuse(http.StatusServiceUnavailable, protocol.CodeStopping,
			"the issuer of the ticket is stopping", "take a new ticket from another entry VM"), false
	case ctx.Err() != nil:
		return lateReply(), false
	case isNew && (t.entries.Load() >= int64(t.cfg.MaxEntries) || t.bytes.Load() >= int64(admitShare*float64(t.cfg.MaxBytes))):
		return refuse(http.StatusServiceUnavailable, protocol.CodeNoRoom,
			"the table of outcomes is full", "send the request again later or with a ticket of another entry VM"), false
	}
	return protocol.ExecuteReply{}, true
}

func (t *Table) add(s *tableShard, e *entry) {
	e.size = entryOverheadBytes
	s.entries[e.ticket.Sequence] = e
	t.entries.Add(1)
	t.bytes.Add(e.size)
}

// start runs do detached from the cancellation of its caller.
func (t *Table) start(ctx context.Context, s *tableShard, e *entry, do RunFunc) {
	deadline, ok := ctx.Deadline()
	detached := context.WithoutCancel(ctx)
	r := e.run
	go func() {
		var cancel context.CancelFunc
		if ok {
			detached, cancel = context.WithDeadline(detached, deadline)
		} else {
			detached, cancel = context.WithTimeout(detached, DefaultRunTimeout)
		}
		defer cancel()
		r.reply = call(detached, do)
		t.finish(s, e, r)
	}()
}

// call turns a panic of do into an unknown outcome, since the request may
// have reached a target.
func call(ctx context.Context, do RunFunc) (reply protocol.ExecuteReply) {
	if ctx.Err() != nil { // the process was frozen after the run was admitted
		return lateReply()
	}
	defer func() {
		if cause := recover(); cause != nil {
			reply = unknown(http.StatusInternalServerError, protocol.CodeInternal,
				fmt.Sprintf("the run failed: %v", cause), "report the fault to the operator")
		}
	}()
	return do(ctx)
}

// finish records the outcome of a run and releases the copies that wait.
func (t *Table) finish(s *tableShard, e *entry, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.run = nil
	if r.reply.Outcome == protocol.OutcomeNotRun {
		e.state = stateNew
	} else {
		e.state = stateDone
		e.reply = t.keepable(r.reply)
		grown := answerSize(e.reply)
		e.size += grown
		t.bytes.Add(grown)
	}
	close(r.done)
}

// keepable replaces an answer that is too large to be kept.
func (t *Table) keepable(reply protocol.ExecuteReply) protocol.ExecuteReply {
	size := answerSize(reply)
	tooLarge := len(reply.Body) > protocol.MaxRecordedAnswerBytes || size > 2*protocol.MaxRecordedAnswerBytes
	if !tooLarge && t.bytes.Load()+size <= t.cfg.MaxBytes {
		return reply
	}
	return unknown(http.StatusGone, protocol.CodeAnswerNotKept,
		"the request ran, but its answer was not kept", "check the effect of the request at the service")
}

func answerSize(r protocol.ExecuteReply) int64 {
	n := len(r.Body) + len(r.Target)
	if p := r.Problem; p != nil {
		n += len(p.Detail) + len(p.Remedy) + len(p.Title) + len(p.Type)
	}
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v) + headerOverheadBytes
		}
	}
	return int64(n)
}

// Query reports what is known about ticket and never runs its request. A
// ticket that has not run is sealed: it never runs afterwards.
func (t *Table) Query(ticket, service string) protocol.ExecuteReply {
	tk, err := t.verify(ticket, service)
	if err != nil {
		return refuse(http.StatusBadRequest, protocol.CodeBadTicket, err.Error(), "take a new ticket")
	}
	s := t.shard(tk)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[tk.Sequence]
	switch {
	case e != nil && e.state == stateRunning:
		return unknown(http.StatusAccepted, protocol.CodeConflict, "the request still runs", "ask again with the same ticket")
	case e != nil && e.state == stateDone:
		return e.reply
	case e == nil && t.issuer.nowMs() >= t.issuer.expiresMs(tk):
		return expired()
	case e == nil && t.entries.Load() >= int64(t.cfg.MaxEntries):
		return unknown(http.StatusServiceUnavailable, protocol.CodeNoRoom, "the table of outcomes is full", "ask again later")
	case e == nil:
		e = &entry{ticket: tk}
		t.add(s, e)
	}
	e.state = stateSealed
	return closedByQuery()
}

// Seal stops new runs. Runs in progress go on and copies of known tickets are
// still answered.
func (t *Table) Seal() { t.sealed.Store(true) }

// Len returns the number of entries.
func (t *Table) Len() int { return int(t.entries.Load()) }

// Bytes returns the estimated memory of the entries.
func (t *Table) Bytes() int64 { return t.bytes.Load() }

// SweepPeriodically sweeps the table until ctx ends.
func (t *Table) SweepPeriodically(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.Sweep()
		case <-ctx.Done():
			return
		}
	}
}

// Sweep removes entries whose tickets expired more than Config.Retain ago. An
// expired ticket cannot run, so that its entry is not needed for safety.
// Running entries stay.
func (t *Table) Sweep() {
	limit := t.horizonMs(t.issuer.nowMs())
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for sequence, e := range s.entries {
			if e.state != stateRunning && e.ticket.IssuedMs < limit {
				delete(s.entries, sequence)
				t.entries.Add(-1)
				t.bytes.Add(-e.size)
			}
		}
		s.mu.Unlock()
	}
}

// horizonMs returns the issue time from which on all entries are still kept.
func (t *Table) horizonMs(nowMs int64) int64 {
	return nowMs - t.issuer.cfg.Lifetime.Milliseconds() - t.cfg.Retain.Milliseconds()
}
