package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/target"
)

const (
	// avoidanceTime is how long an entry VM is tried last after it did not respond.
	avoidanceTime = 5 * time.Second
	// callTimeout limits a lookup or ticket request to one entry VM.
	callTimeout = time.Second
	// maxDocumentBytes limits the responses to lookups and ticket requests.
	maxDocumentBytes = 1 << 20
)

// lookupCache caches the results of lookups by service.
type lookupCache struct {
	client     *Client
	mu         sync.Mutex
	lookups    map[string]*cachedLookup
	avoidUntil map[string]time.Time // by address of an entry VM that did not respond
}

// cachedLookup is the result of the last lookup of a service. refreshing is
// held during a lookup, so that concurrent requests share the result.
type cachedLookup struct {
	refreshing chan struct{}
	entries    []string
	expires    time.Time
}

func newLookupCache(c *Client) *lookupCache {
	return &lookupCache{client: c, lookups: map[string]*cachedLookup{}, avoidUntil: map[string]time.Time{}}
}

func (lc *lookupCache) lookupFor(service string) *cachedLookup {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	l := lc.lookups[service]
	if l == nil {
		l = &cachedLookup{refreshing: make(chan struct{}, 1)}
		lc.lookups[service] = l
	}
	return l
}

// addresses returns the entry VMs for service in order of preference, with
// Config.Entries last. If the lookup fails, the earlier result stays in use.
func (lc *lookupCache) addresses(ctx context.Context, service string) []string {
	l := lc.lookupFor(service)
	if lc.client.cfg.Now().After(lc.expiry(l)) {
		select {
		case l.refreshing <- struct{}{}:
			lc.refresh(ctx, service, l)
			<-l.refreshing
		case <-ctx.Done():
		}
	}
	return lc.ordered(l)
}

func (lc *lookupCache) expiry(l *cachedLookup) time.Time {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return l.expires
}

// ordered returns the addresses of l and Config.Entries without duplicates, with
// those that recently did not respond last.
func (lc *lookupCache) ordered(l *cachedLookup) []string {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	now := lc.client.cfg.Now()
	var preferred, avoided []string
	for _, address := range slices.Concat(l.entries, lc.client.cfg.Entries) {
		if slices.Contains(preferred, address) || slices.Contains(avoided, address) {
			continue
		}
		if now.Before(lc.avoidUntil[address]) {
			avoided = append(avoided, address)
		} else {
			preferred = append(preferred, address)
		}
	}
	return append(preferred, avoided...)
}

func (lc *lookupCache) refresh(ctx context.Context, service string, l *cachedLookup) {
	now := lc.client.cfg.Now()
	if !now.After(lc.expiry(l)) {
		return // another request has just refreshed the result
	}
	for _, address := range lc.ordered(l) {
		if ctx.Err() != nil {
			return
		}
		result, err := lc.query(ctx, address, service)
		if err != nil {
			continue
		}
		lc.mu.Lock()
		l.entries = result.entries
		l.expires = now.Add(result.ttl)
		lc.mu.Unlock()
		return
	}
}

type lookupResult struct {
	entries []string
	ttl     time.Duration
}

func (lc *lookupCache) query(ctx context.Context, address, service string) (lookupResult, error) {
	query := url.Values{"service": {service}}
	if lc.client.cfg.ClientIP != "" {
		query.Set("client", lc.client.cfg.ClientIP)
	}
	if lc.client.cfg.Zone != "" {
		query.Set("zone", lc.client.cfg.Zone)
	}
	var document struct {
		TTLMs   int64 `json:"ttl_ms"`
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := lc.client.callAPI(ctx, address, http.MethodGet, "/v1/lookup?"+query.Encode(), &document); err != nil {
		return lookupResult{}, err
	}
	out := lookupResult{ttl: time.Duration(document.TTLMs) * time.Millisecond}
	for _, e := range document.Entries {
		out.entries = append(out.entries, e.Address)
	}
	return out, nil
}

// markFailed records that the VM at address did not respond, and removes its
// unused tickets.
func (lc *lookupCache) markFailed(address string) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	now := lc.client.cfg.Now()
	for other, end := range lc.avoidUntil {
		if now.After(end) {
			delete(lc.avoidUntil, other)
		}
	}
	lc.avoidUntil[address] = now.Add(avoidanceTime)
	lc.client.tickets.removeIssuer(address)
}

// markLeaving records that the VM at address is about to stop: lookups that
// returned it are repeated, and its unused tickets are removed.
func (lc *lookupCache) markLeaving(address string) {
	lc.mu.Lock()
	for _, l := range lc.lookups {
		if slices.Contains(l.entries, address) {
			l.expires = time.Time{}
		}
	}
	lc.mu.Unlock()
	lc.client.tickets.removeIssuer(address)
}

// callAPI sends a lookup or ticket request to one entry VM and decodes the
// response into the given value.
func (c *Client) callAPI(ctx context.Context, address, method, path string, into any) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.exchange(callCtx, address, &target.Request{Method: method, Path: path}, maxDocumentBytes)
	if err != nil {
		if ctx.Err() == nil {
			c.lookups.markFailed(address)
		}
		return err
	}
	if reply.Status != http.StatusOK {
		return decodeProblem(reply)
	}
	if err := json.Unmarshal(reply.Body, into); err != nil {
		return fmt.Errorf("entry VM %s sent an invalid document: %w", address, err)
	}
	return nil
}

// decodeProblem decodes the problem document of reply. If it has none, the
// problem is CodeInternal. The outcome is unknown unless the header says not_run.
func decodeProblem(reply *Response) *protocol.Problem {
	p := &protocol.Problem{}
	if json.Unmarshal(reply.Body, p) != nil || p.Code == "" {
		p = protocol.NewProblem(reply.Status, protocol.CodeInternal, protocol.OutcomeUnknown,
			"the entry VM sent no problem document", "check the address of the entry VM")
	}
	p.Outcome = protocol.Outcome(reply.Header.Get(protocol.HeaderOutcome))
	if p.Outcome != protocol.OutcomeNotRun {
		p.Outcome = protocol.OutcomeUnknown
	}
	return p
}

// findTargetFailure returns the *target.Failure in err, or nil.
func findTargetFailure(err error) *target.Failure {
	var f *target.Failure
	if errors.As(err, &f) {
		return f
	}
	return nil
}
