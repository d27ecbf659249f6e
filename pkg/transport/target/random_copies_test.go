package target

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hickoryroute/pkg/protocol"
)

var (
	firstCopySeed = flag.Uint64("target.first", 1, "first seed of the plays with random copies of refusals beyond those of CI")
	copyTime      = flag.Duration("target.time", 0, "time for plays with random copies of refusals beyond those of CI")
)

const (
	// copySeeds is the number of seeds, from 1, that CI plays.
	copySeeds = 20
	// copyCallers and copySendings are the numbers of callers of a play and of
	// requests of a caller.
	copyCallers  = 6
	copySendings = 40
	copyDeadline = 2 * time.Second
	// maxCopyConns limits the connections to the target.
	maxCopyConns = 4
	// maxCallerPauseMs bounds the pause of a caller between two requests.
	maxCallerPauseMs = 3
	// lastRunTime is the time in which the target records runs after the last
	// response.
	lastRunTime = 5 * time.Millisecond
)

// copyPlay is one play of a seed: callers whose ids come again, one client and one
// target.
type copyPlay struct {
	t       *testing.T
	seed    uint64
	target  *copyTarget
	address string
	client  *Client
	mu      sync.Mutex
	counts  copyCounts
}

// copyCounts counts how the requests of a play ended.
type copyCounts struct {
	succeeded, refused, failed int
	// reused counts requests without a response on connections in use before.
	reused int
}

func newCopyPlay(t *testing.T, seed uint64) *copyPlay {
	p := &copyPlay{t: t, seed: seed, target: newCopyTarget(seed)}
	p.address = listen(t, p.target.serve)
	dialect := Dialect{
		SkipSurplusResponses: seed%2 == 0, RequireEchoedID: seed%4 < 2, AllowCloseDelimited: true,
		IsNotRun: func(_ int, h http.Header) bool { return h.Get(protocol.HeaderNotRun) != "" },
	}
	p.client = New(Config{MaxConnsPerTarget: maxCopyConns, MaxIdlePerTarget: 1 + int(seed%6), Dialect: dialect})
	return p
}

func (p *copyPlay) run() {
	defer p.client.Close()
	var callers sync.WaitGroup
	for caller := range copyCallers {
		callers.Go(func() { p.runCaller(caller) })
	}
	callers.Wait()
	time.Sleep(lastRunTime)
	for _, sending := range p.target.ranTwice() {
		p.t.Errorf("seed %d: %s ran %d times", p.seed, sending, p.target.runsOf(sending))
	}
	p.t.Logf("seed %d played: %+v", p.seed, p.counts)
}

func (p *copyPlay) runCaller(caller int) {
	random := rand.New(rand.NewPCG(p.seed, uint64(100+caller)))
	for n := range copySendings {
		sending := fmt.Sprintf("%d-%d-%d", p.seed, caller, n)
		r := p.drawRequest(random, sending)
		body, f := fetch(context.Background(), p.client, r)
		p.judge(sending, body, f, p.target.runsOf(sending))
		time.Sleep(time.Duration(random.IntN(maxCallerPauseMs)) * time.Millisecond)
	}
}

// drawRequest draws a request, whose id others may have at the same time.
func (p *copyPlay) drawRequest(random *rand.Rand, sending string) *Request {
	body := strings.Repeat("x", []int{0, 1, 900, 80_000, 600_000}[random.IntN(5)])
	r := newPost(p.address, fmt.Sprintf("id-%d", random.IntN(1+int(p.seed%50))), body)
	if len(body) > 0 && random.IntN(2) == 0 {
		r.ContentLength = -1
	}
	r.Header = http.Header{sendingField: {sending}}
	r.Deadline = time.Now().Add(copyDeadline)
	return r
}

// judge compares how a request ended with how often it had run by then.
func (p *copyPlay) judge(sending, body string, f *Failure, runs int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case f == nil:
		p.counts.succeeded++
		if body != sending || runs != 1 {
			p.t.Errorf("seed %d: %s got %q, %d runs", p.seed, sending, body, runs)
		}
	case f.NotRun:
		p.counts.refused++
		if runs > 0 {
			p.t.Errorf("seed %d: %s ran, and: %v %+v status %d", p.seed, sending, f, f.Trace, f.Status)
		}
	default:
		p.counts.failed++
	}
	if f != nil && f.Reused {
		p.counts.reused++
	}
}

// Guards against a refusal, or a response, that is taken for that of another
// sending, whatever copies of refusals a target sends and when.
func TestRandomCopiesOfRefusals(t *testing.T) {
	for seed := uint64(1); seed <= copySeeds && !t.Failed(); seed++ {
		newCopyPlay(t, seed).run()
	}
	end := time.Now().Add(*copyTime)
	for seed := *firstCopySeed; time.Now().Before(end) && !t.Failed(); seed++ {
		newCopyPlay(t, seed).run()
	}
}
