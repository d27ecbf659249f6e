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
	// avoidTime is how long an entry VM without an answer is used last.
	avoidTime = 5 * time.Second
	// lookupTimeout bounds a look-up at one entry VM.
	lookupTimeout = time.Second
	// maxControlBytes limits the documents of look-ups and tickets.
	maxControlBytes = 1 << 20
)

// directory caches look-ups by service.
type directory struct {
	client *Client
	mu     sync.Mutex
	cache  map[string]*lookup
	avoid  map[string]time.Time // end of the time to avoid an address
}

// lookup is one cached answer. busy is held during a look-up, so that
// concurrent requests share it.
type lookup struct {
	busy    chan struct{}
	entries []string
	expires time.Time
}

func newDirectory(c *Client) *directory {
	return &directory{client: c, cache: map[string]*lookup{}, avoid: map[string]time.Time{}}
}

func (d *directory) get(service string) *lookup {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.cache[service]
	if l == nil {
		l = &lookup{busy: make(chan struct{}, 1)}
		d.cache[service] = l
	}
	return l
}

// addresses returns the entry VMs for service in order of preference, with the
// first contacts last. A failed look-up leaves the earlier answer in use.
func (d *directory) addresses(ctx context.Context, service string) []string {
	l := d.get(service)
	if d.client.cfg.Now().After(d.expiry(l)) {
		select {
		case l.busy <- struct{}{}:
			d.refresh(ctx, service, l)
			<-l.busy
		case <-ctx.Done():
		}
	}
	return d.order(l)
}

func (d *directory) expiry(l *lookup) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return l.expires
}

// order puts addresses that failed lately behind the others.
func (d *directory) order(l *lookup) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.client.cfg.Now()
	var good, bad []string
	for _, address := range slices.Concat(l.entries, d.client.cfg.Entries) {
		if slices.Contains(good, address) || slices.Contains(bad, address) {
			continue
		}
		if now.Before(d.avoid[address]) {
			bad = append(bad, address)
		} else {
			good = append(good, address)
		}
	}
	return append(good, bad...)
}

func (d *directory) refresh(ctx context.Context, service string, l *lookup) {
	now := d.client.cfg.Now()
	if !now.After(d.expiry(l)) {
		return // another request has just done it
	}
	for _, address := range d.order(l) {
		if ctx.Err() != nil {
			return
		}
		answer, err := d.ask(ctx, address, service)
		if err != nil {
			continue
		}
		d.mu.Lock()
		l.entries = answer.entries
		l.expires = now.Add(answer.ttl)
		d.mu.Unlock()
		return
	}
}

type lookupResult struct {
	entries []string
	ttl     time.Duration
}

func (d *directory) ask(ctx context.Context, address, service string) (lookupResult, error) {
	query := url.Values{"service": {service}}
	if d.client.cfg.ClientIP != "" {
		query.Set("client", d.client.cfg.ClientIP)
	}
	if d.client.cfg.Zone != "" {
		query.Set("zone", d.client.cfg.Zone)
	}
	var document struct {
		TTLMs   int64 `json:"ttl_ms"`
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := d.client.control(ctx, address, http.MethodGet, "/v1/lookup?"+query.Encode(), &document); err != nil {
		return lookupResult{}, err
	}
	out := lookupResult{ttl: time.Duration(document.TTLMs) * time.Millisecond}
	for _, e := range document.Entries {
		out.entries = append(out.entries, e.Address)
	}
	return out, nil
}

// failed notes that address gave no answer.
func (d *directory) failed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.client.cfg.Now()
	for other, end := range d.avoid {
		if now.After(end) {
			delete(d.avoid, other)
		}
	}
	d.avoid[address] = now.Add(avoidTime)
	d.client.tickets.drop(address)
}

// leaving notes that address is about to stop: its look-ups are repeated and
// its unused tickets are dropped.
func (d *directory) leaving(address string) {
	d.mu.Lock()
	for _, l := range d.cache {
		if slices.Contains(l.entries, address) {
			l.expires = time.Time{}
		}
	}
	d.mu.Unlock()
	d.client.tickets.drop(address)
}

// control sends a look-up or ticket request to one entry VM.
func (c *Client) control(ctx context.Context, address, method, path string, into any) error {
	limited, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	reply, err := c.exchange(limited, address, &target.Request{Method: method, Path: path}, maxControlBytes)
	if err != nil {
		if ctx.Err() == nil {
			c.entries.failed(address)
		}
		return err
	}
	if reply.Status != http.StatusOK {
		return problemOf(reply)
	}
	if err := json.Unmarshal(reply.Body, into); err != nil {
		return fmt.Errorf("entry VM %s sent an invalid document: %w", address, err)
	}
	return nil
}

// problemOf decodes the problem document of reply. Without one the outcome is
// unknown.
func problemOf(reply *Response) *protocol.Problem {
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

// asFailure returns the *target.Failure in err, or nil.
func asFailure(err error) *target.Failure {
	var f *target.Failure
	if errors.As(err, &f) {
		return f
	}
	return nil
}
