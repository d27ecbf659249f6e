package caller

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// ticket is an unused ticket.
type ticket struct {
	text     string
	issuer   string    // caller address of the VM that issued it
	useUntil time.Time // the ticket is not used from then on
}

// ticketCache holds unused tickets by service.
type ticketCache struct {
	client *Client
	mu     sync.Mutex
	unused map[string][]ticket
}

func newTicketCache(c *Client) *ticketCache {
	return &ticketCache{client: c, unused: map[string][]ticket{}}
}

// take returns an unused ticket from the cache, or else from the first entry VM
// that issues tickets.
func (tc *ticketCache) take(ctx context.Context, service string) (ticket, error) {
	addresses := tc.client.lookups.addresses(ctx, service)
	if t, ok := tc.pop(service, addresses); ok {
		return t, nil
	}
	var last error
	for _, address := range addresses {
		tickets, err := tc.fetch(ctx, address, service)
		if err == nil && len(tickets) > 0 {
			tc.mu.Lock()
			tc.unused[service] = append(tc.unused[service], tickets[1:]...)
			tc.mu.Unlock()
			return tickets[0], nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return ticket{}, last
}

// pop takes a ticket from the cache. It discards tickets that are old or whose
// issuer is no longer listed, because requests under them would end as unknown.
func (tc *ticketCache) pop(service string, addresses []string) (ticket, bool) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	now := tc.client.cfg.Now()
	list := tc.unused[service]
	for len(list) > 0 {
		t := list[len(list)-1]
		list = list[:len(list)-1]
		if now.Before(t.useUntil) && slices.Contains(addresses, t.issuer) {
			tc.unused[service] = list
			return t, true
		}
	}
	delete(tc.unused, service)
	return ticket{}, false
}

func (tc *ticketCache) fetch(ctx context.Context, address, service string) ([]ticket, error) {
	query := url.Values{"service": {service}, "count": {strconv.Itoa(tc.client.cfg.TicketBatch)}}
	var document struct {
		Tickets     []string `json:"tickets"`
		ExpiresInMs int64    `json:"expires_in_ms"`
		Entry       string   `json:"entry"`
	}
	requestedAt := tc.client.cfg.Now()
	if err := tc.client.callAPI(ctx, address, http.MethodPost, "/v1/tickets?"+query.Encode(), &document); err != nil {
		return nil, err
	}
	// Half of the lifetime is left for the request and its resends.
	until := requestedAt.Add(time.Duration(document.ExpiresInMs) * time.Millisecond / 2)
	if document.Entry == "" {
		document.Entry = address
	}
	var out []ticket
	for _, text := range document.Tickets {
		out = append(out, ticket{text: text, issuer: document.Entry, useUntil: until})
	}
	return out, nil
}

// removeIssuer removes the tickets of one issuer.
func (tc *ticketCache) removeIssuer(issuer string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for service, list := range tc.unused {
		var remaining []ticket
		for _, t := range list {
			if t.issuer != issuer {
				remaining = append(remaining, t)
			}
		}
		tc.unused[service] = remaining
	}
}
