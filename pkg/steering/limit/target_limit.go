package limit

import (
	"math"
	"sync"
	"time"
)

const (
	// statementTTL is the least time for which a limit is kept without a new
	// statement of the target. VMs without a part of a limit hear it from others.
	statementTTL = 5 * time.Second
	// keptTurns is the number of requests that a VM could send within its part of
	// a low limit while the limit is kept. Two would end it just before the
	// response to the second one.
	keptTurns = 3
	// minTargetRate is the number of requests a second that the VMs together send
	// at least to a target with a limit, so that they learn when it ends.
	minTargetRate = 0.25
	// burstSeconds and burstSlack give the requests that the VMs together may send
	// to a target at once: those of burstSeconds at its limit, and burstSlack more.
	burstSeconds = 1.0
	burstSlack   = 2.0
)

// Statement is the limit of a target as stated at a time.
type Statement struct {
	// PerSecond is the number of requests a second that the target takes from all
	// VMs together.
	PerSecond float64
	At        time.Time
}

// TargetLimiter keeps the requests of this VM to each target within its part of
// the limit that the target states. It is safe for concurrent use.
type TargetLimiter struct {
	mu      sync.Mutex
	targets map[string]*targetLimit
}

// targetLimit is the limit of one target with the tokens of this VM.
type targetLimit struct {
	statement Statement
	// own is true if the target made the statement to this VM.
	own   bool
	ended bool // the target has stated that it has no limit
	// tokens is the number of requests that this VM may send at filledAt. It is
	// negative after concurrent requests.
	tokens   float64
	filledAt time.Time
}

// NewTargetLimiter returns a limiter without any limits.
func NewTargetLimiter() *TargetLimiter { return &TargetLimiter{targets: map[string]*targetLimit{}} }

// Record records what a target has stated to this VM: a limit, or nil for none. It
// reports whether a limit began or ended.
func (l *TargetLimiter) Record(target string, perSecond *float64, now time.Time) (changed bool) {
	return l.record(target, perSecond, now, true)
}

// Merge records a limit that a target has stated to another VM. This VM then sends
// nothing until its part of the limit allows it: many VMs that come into use at the same
// time would else each send a request at once.
func (l *TargetLimiter) Merge(target string, s Statement) {
	l.record(target, &s.PerSecond, s.At, false)
}

// record records a statement unless a newer one is known.
func (l *TargetLimiter) record(target string, perSecond *float64, at time.Time, own bool) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[target]
	switch {
	case t == nil && perSecond == nil:
		return false
	case t == nil:
		l.prune(at)
		t = &targetLimit{ended: true, filledAt: at}
		if own {
			t.tokens = math.Inf(1)
		}
		l.targets[target] = t
	case !at.After(t.statement.At):
		return false
	}
	wasEnded := t.ended
	t.statement, t.own, t.ended = Statement{At: at}, own, perSecond == nil
	if perSecond != nil {
		t.statement.PerSecond = *perSecond
	}
	return t.ended != wasEnded
}

// OwnStatements returns the limits that targets have stated to this VM, to be sent
// to other VMs. Statements of other VMs are not passed on, because their ages would
// not count the time on the way.
func (l *TargetLimiter) OwnStatements(now time.Time) map[string]Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var statements map[string]Statement
	for target := range l.targets {
		if t := l.current(target, now); t != nil && t.own {
			if statements == nil {
				statements = map[string]Statement{}
			}
			statements[target] = t.statement
		}
	}
	return statements
}

// expired reports whether the statement is too old to be in force. A VM sends so
// few requests to a target with a low limit that statements are rare.
func (t *targetLimit) expired(now time.Time) bool {
	kept := statementTTL
	if perSecond := t.statement.PerSecond; perSecond < 1 {
		turn := float64(MaxSenders(perSecond)) / max(minTargetRate, perSecond)
		kept = max(kept, time.Duration(keptTurns*turn*float64(time.Second)))
	}
	return now.Sub(t.statement.At) > kept
}

// prune removes the targets without a recent statement. The caller holds the
// lock.
func (l *TargetLimiter) prune(now time.Time) {
	for target, t := range l.targets {
		if t.expired(now) {
			delete(l.targets, target)
		}
	}
}

// Limit returns the limit of a target, and false if it has none.
func (l *TargetLimiter) Limit(target string, now time.Time) (Statement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.current(target, now)
	if t == nil {
		return Statement{}, false
	}
	return t.statement, true
}

// current returns the limit of a target that is in force, or nil. The caller holds
// the lock.
func (l *TargetLimiter) current(target string, now time.Time) *targetLimit {
	t := l.targets[target]
	if t == nil || t.ended || t.expired(now) {
		return nil
	}
	return t
}

// Wait returns the time until this VM may send a request to a target, if it is one
// of a number of senders that divide the limit evenly. It is 0 for a target
// without a limit.
func (l *TargetLimiter) Wait(target string, senders int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.current(target, now)
	if t == nil {
		return 0
	}
	rate := t.fill(senders, now)
	if t.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - t.tokens) / rate * float64(time.Second))
}

// fill adds the tokens since the last call and returns the rate of this VM.
func (t *targetLimit) fill(senders int, now time.Time) (rate float64) {
	part := 1 / float64(max(1, senders))
	rate = max(minTargetRate, t.statement.PerSecond) * part
	burst := max(1, (burstSeconds*t.statement.PerSecond+burstSlack)*part)
	t.tokens = min(burst, t.tokens+rate*max(0, now.Sub(t.filledAt).Seconds()))
	t.filledAt = now
	return rate
}

// Take counts a request to a target.
func (l *TargetLimiter) Take(target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.current(target, now); t != nil {
		t.tokens--
	}
}

// MaxSenders returns the number of VMs that may divide a limit, so that each of
// them may send one request at once. It is at most maxSenders, also for a limit
// that no int can hold.
func MaxSenders(perSecond float64) int {
	return int(min(maxSenders, max(1, burstSeconds*perSecond+burstSlack)))
}

// maxSenders exceeds the number of VMs of any site.
const maxSenders = 100_000
