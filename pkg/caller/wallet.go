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
	text  string
	entry string    // caller address of the VM that issued it
	until time.Time // not used afterwards
}

// wallet keeps unused tickets by service.
type wallet struct {
	client *Client
	mu     sync.Mutex
	stock  map[string][]ticket
}

func newWallet(c *Client) *wallet { return &wallet{client: c, stock: map[string][]ticket{}} }

// take returns an unused ticket from the stock or from the first entry VM that
// issues some.
func (w *wallet) take(ctx context.Context, service string) (ticket, error) {
	addresses := w.client.entries.addresses(ctx, service)
	if t, ok := w.pop(service, addresses); ok {
		return t, nil
	}
	var last error
	for _, address := range addresses {
		tickets, err := w.fetch(ctx, address, service)
		if err == nil && len(tickets) > 0 {
			w.mu.Lock()
			w.stock[service] = append(w.stock[service], tickets[1:]...)
			w.mu.Unlock()
			return tickets[0], nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return ticket{}, last
}

// pop takes a ticket from the stock. Tickets that are old, or whose issuer is
// no longer listed, are dropped, because they would end as unknown.
func (w *wallet) pop(service string, addresses []string) (ticket, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.client.cfg.Now()
	list := w.stock[service]
	for len(list) > 0 {
		t := list[len(list)-1]
		list = list[:len(list)-1]
		if now.Before(t.until) && slices.Contains(addresses, t.entry) {
			w.stock[service] = list
			return t, true
		}
	}
	delete(w.stock, service)
	return ticket{}, false
}

func (w *wallet) fetch(ctx context.Context, address, service string) ([]ticket, error) {
	query := url.Values{"service": {service}, "count": {strconv.Itoa(w.client.cfg.TicketBatch)}}
	var document struct {
		Tickets     []string `json:"tickets"`
		ExpiresInMs int64    `json:"expires_in_ms"`
		Entry       string   `json:"entry"`
	}
	asked := w.client.cfg.Now()
	if err := w.client.control(ctx, address, http.MethodPost, "/v1/tickets?"+query.Encode(), &document); err != nil {
		return nil, err
	}
	// Half of the life time is left for the request and its resends.
	until := asked.Add(time.Duration(document.ExpiresInMs) * time.Millisecond / 2)
	if document.Entry == "" {
		document.Entry = address
	}
	var out []ticket
	for _, text := range document.Tickets {
		out = append(out, ticket{text: text, entry: document.Entry, until: until})
	}
	return out, nil
}

// drop removes the tickets of one issuer.
func (w *wallet) drop(entry string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for service, list := range w.stock {
		var rest []ticket
		for _, t := range list {
			if t.entry != entry {
				rest = append(rest, t)
			}
		}
		w.stock[service] = rest
	}
}
