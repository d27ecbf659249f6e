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
	// entryOverheadBytes is the estimated memory of an entry without its
	// response.
	entryOverheadBytes = 400
	// headerOverheadBytes is the estimated memory of a header value in addition
	// to its text.
	headerOverheadBytes = 64
	// admissionShare is the share of MaxBytes from which no new run starts. The
	// rest holds the responses of runs that have already started.
	admissionShare = 0.75
)

// Config holds the settings of a Table.
type Config struct {
	// MaxEntries limits the used tickets in the table. Once it is reached, new
	// tickets are refused as not_run.
	MaxEntries int
	// MaxBytes limits the memory of the entries. New tickets are refused once
	// three quarters of it are in use. A response that does not fit is not kept,
	// and later copies of its request are reported as unknown.
	MaxBytes int64
	// Retain is how long an entry is kept after its ticket has expired.
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

// RunFunc runs a request and returns its outcome. Its context ends at the
// deadline of the caller that started the run, but not when that caller
// disconnects.
type RunFunc func(ctx context.Context) protocol.ExecuteReply

type entryState uint8

const (
	stateNew     entryState = iota // not running; every earlier run ended as not_run
	stateRunning                   // a run is in progress
	stateDone                      // a run ended as answered or unknown
	stateClosed                    // a query has reported not_run, so that no run may start
)

type entry struct {
	ticket      Ticket
	fingerprint Fingerprint
	state       entryState
	run         *run                  // set in stateRunning
	reply       protocol.ExecuteReply // set in stateDone
	size        int64
}

// run is one execution of a request. Copies of the request that arrive while it
// is in progress wait for done.
type run struct {
	done  chan struct{}
	reply protocol.ExecuteReply // valid once done is closed
}

// Table runs the requests under the tickets of one Issuer at most once and
// keeps their outcomes. It is sharded by sequence, with a lock for each shard.
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

// Execute runs the request under ticket, waits for a run in progress, or
// returns the recorded outcome. A run continues after ctx is cancelled, so that
// a later copy of the request gets its response; it ends at the deadline of
// ctx, or after DefaultRunTimeout if ctx has none.
func (t *Table) Execute(ctx context.Context, ticket, service string, fingerprint Fingerprint, do RunFunc) protocol.ExecuteReply {
	tk, err := t.parseAndVerify(ticket, service)
	if err != nil {
		return notRunReply(http.StatusBadRequest, protocol.CodeBadTicket, err.Error(), "take a new ticket")
	}
	r, reply := t.joinOrStart(ctx, tk, fingerprint, do)
	if r == nil {
		return reply
	}
	select {
	case <-r.done:
		return r.reply
	case <-ctx.Done():
	}
	select {
	case <-r.done: // the run and ctx ended at the same time
		return r.reply
	default:
		return unknownReply(http.StatusGatewayTimeout, protocol.CodeDeadlinePassed,
			"the request is still running", "ask again with the same ticket")
	}
}

func (t *Table) parseAndVerify(ticket, service string) (Ticket, error) {
	tk, err := Parse(ticket)
	if err != nil {
		return tk, err
	}
	return tk, t.issuer.Verify(tk, service)
}

// joinOrStart returns the run in progress or a new one, or nil and the reply if
// there is no run to wait for.
func (t *Table) joinOrStart(ctx context.Context, tk Ticket, fingerprint Fingerprint, do RunFunc) (*run, protocol.ExecuteReply) {
	s := t.shard(tk)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[tk.Sequence]
	if e != nil && e.fingerprint != fingerprint && e.state != stateClosed {
		return nil, ticketReusedReply()
	}
	if e != nil && e.state == stateRunning {
		return e.run, protocol.ExecuteReply{}
	}
	if e != nil && e.state == stateDone {
		return nil, e.reply
	}
	if e != nil && e.state == stateClosed {
		return nil, ticketClosedReply()
	}
	if reply, ok := t.admit(ctx, tk, e == nil); !ok {
		return nil, reply
	}
	if e == nil {
		e = &entry{ticket: tk, fingerprint: fingerprint}
		t.addEntry(s, e)
	}
	e.state = stateRunning
	e.run = &run{done: make(chan struct{})}
	t.startRun(ctx, s, e, do)
	return e.run, protocol.ExecuteReply{}
}

// admit reports whether a new run may start, and returns the refusal if not.
// isNew is true if the run needs a new entry.
func (t *Table) admit(ctx context.Context, tk Ticket, isNew bool) (protocol.ExecuteReply, bool) {
	switch {
	case t.issuer.nowMs() >= t.issuer.expiryMs(tk):
		return expiredReply(), false
	case t.sealed.Load():
		return notRunReply(http.StatusServiceUnavailable, protocol.CodeStopping,
			"the issuer of the ticket is stopping", "take a new ticket from another entry VM"), false
	case ctx.Err() != nil:
		return deadlinePassedReply(), false
	case isNew && (t.entries.Load() >= int64(t.cfg.MaxEntries) || t.bytes.Load() >= int64(admissionShare*float64(t.cfg.MaxBytes))):
		return notRunReply(http.StatusServiceUnavailable, protocol.CodeNoRoom,
			"the table of outcomes is full", "send the request again later or with a ticket of another entry VM"), false
	}
	return protocol.ExecuteReply{}, true
}

func (t *Table) addEntry(s *tableShard, e *entry) {
	e.size = entryOverheadBytes
	s.entries[e.ticket.Sequence] = e
	t.entries.Add(1)
	t.bytes.Add(e.size)
}

// startRun runs do in the background, independent of the cancellation of its
// caller.
func (t *Table) startRun(ctx context.Context, s *tableShard, e *entry, do RunFunc) {
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
		r.reply = callRecovering(detached, do)
		t.recordOutcome(s, e, r)
	}()
}

// callRecovering calls do and turns a panic into an unknown outcome, since the
// request may have reached a target.
func callRecovering(ctx context.Context, do RunFunc) (reply protocol.ExecuteReply) {
	if ctx.Err() != nil { // the process may have been frozen since the run was admitted
		return deadlinePassedReply()
	}
	defer func() {
		if cause := recover(); cause != nil {
			reply = unknownReply(http.StatusInternalServerError, protocol.CodeInternal,
				fmt.Sprintf("the run failed: %v", cause), "report the fault to the operator")
		}
	}()
	return do(ctx)
}

// recordOutcome records the outcome of a run and releases the copies of the
// request that wait for it.
func (t *Table) recordOutcome(s *tableShard, e *entry, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.run = nil
	if r.reply.Outcome == protocol.OutcomeNotRun {
		e.state = stateNew
	} else {
		e.state = stateDone
		e.reply = t.replaceIfTooLarge(r.reply)
		replySize := replyBytes(e.reply)
		e.size += replySize
		t.bytes.Add(replySize)
	}
	close(r.done)
}

// replaceIfTooLarge returns reply, or an unknown outcome instead of a response
// that is too large to be kept.
func (t *Table) replaceIfTooLarge(reply protocol.ExecuteReply) protocol.ExecuteReply {
	size := replyBytes(reply)
	tooLarge := len(reply.Body) > protocol.MaxRecordedResponseBytes || size > 2*protocol.MaxRecordedResponseBytes
	if !tooLarge && t.bytes.Load()+size <= t.cfg.MaxBytes {
		return reply
	}
	return unknownReply(http.StatusGone, protocol.CodeResponseNotKept,
		"the request ran, but its response was not kept", "check the effect of the request at the service")
}

// replyBytes estimates the memory of a reply.
func replyBytes(r protocol.ExecuteReply) int64 {
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

// Query reports the outcome of ticket without running its request. A ticket
// that has not run is closed: no run under it starts afterwards.
func (t *Table) Query(ticket, service string) protocol.ExecuteReply {
	tk, err := t.parseAndVerify(ticket, service)
	if err != nil {
		return notRunReply(http.StatusBadRequest, protocol.CodeBadTicket, err.Error(), "take a new ticket")
	}
	s := t.shard(tk)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[tk.Sequence]
	switch {
	case e != nil && e.state == stateRunning:
		return unknownReply(http.StatusAccepted, protocol.CodeConflict, "the request is still running", "ask again with the same ticket")
	case e != nil && e.state == stateDone:
		return e.reply
	case e == nil && t.issuer.nowMs() >= t.issuer.expiryMs(tk):
		return expiredReply()
	case e == nil && t.entries.Load() >= int64(t.cfg.MaxEntries):
		return unknownReply(http.StatusServiceUnavailable, protocol.CodeNoRoom, "the table of outcomes is full", "ask again later")
	case e == nil:
		e = &entry{ticket: tk}
		t.addEntry(s, e)
	}
	e.state = stateClosed
	return ticketClosedReply()
}

// Seal prevents new runs. Runs in progress continue, and recorded outcomes are
// still returned.
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

// Sweep removes entries whose tickets expired more than Config.Retain ago. No
// run starts under an expired ticket, so its entry is not needed to prevent a
// second run. Entries with a run in progress stay.
func (t *Table) Sweep() {
	limit := t.retentionHorizonMs(t.issuer.nowMs())
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

// retentionHorizonMs returns the earliest issue time whose entries are all
// still kept.
func (t *Table) retentionHorizonMs(nowMs int64) int64 {
	return nowMs - t.issuer.cfg.Lifetime.Milliseconds() - t.cfg.Retain.Milliseconds()
}
