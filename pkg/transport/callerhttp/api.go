// Package callerhttp implements the HTTP interface of an entry VM for callers:
//
//	GET  /v1/lookup?service=S&client=IP&zone=Z
//	POST /v1/tickets?service=S&count=N
//	ANY  /v1/services/{service}/{path}
//
// Every response of a handler carries Hickory-Outcome and Hickory-Request-Id,
// and every refusal is a problem document. net/http refuses requests that are
// not valid HTTP/1.1 with status 400 and without a problem document.
//
// A response of up to 64 KiB is read completely before its head is sent, so that
// an incomplete one is replaced by a problem document. If a longer response is
// truncated, the connection to the caller is aborted, so that the caller detects
// the truncation.
package callerhttp

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"hickoryroute/pkg/protocol"
)

// LookupRequest is a lookup of the entry VMs that a client should use.
type LookupRequest struct {
	Service string
	Client  netip.Addr // address of the client; the remote address of the connection if none was sent
	Zone    string     // availability zone of the caller; may be empty
}

// LookupEntry is one entry VM in a LookupResponse.
type LookupEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// LookupResponse is the JSON document of GET /v1/lookup.
type LookupResponse struct {
	Service     string        `json:"service"`
	ClientBlock string        `json:"client_block"`
	TTLMs       int64         `json:"ttl_ms"`
	Revision    int64         `json:"revision"`
	Entries     []LookupEntry `json:"entries"` // in order of preference
}

// TicketsResponse is the JSON document of POST /v1/tickets.
type TicketsResponse struct {
	Tickets     []string `json:"tickets"`
	ExpiresInMs int64    `json:"expires_in_ms"`
	Entry       string   `json:"entry"` // caller address of the issuing VM
}

// Request is a validated request to a service.
type Request struct {
	Service   string
	Method    string
	Path      string      // escaped path with query below the service, starting with "/"
	Header    http.Header // without hop-by-hop fields
	Body      []byte
	Client    netip.Addr
	RequestID string
	Ticket    string // empty if the caller sent none
	Deadline  time.Time
}

// Response is the response of a target. If the response is incomplete, Body must
// return an error other than io.EOF.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1 if unknown
	Body          io.ReadCloser
	Target        string // name of the target
	Revision      int64  // revision of the settings in force
}

// LookupService serves lookups.
type LookupService interface {
	Lookup(ctx context.Context, r LookupRequest) (*LookupResponse, *protocol.Problem)
}

// TicketIssuer issues tickets.
type TicketIssuer interface {
	IssueTickets(service string, n int) (*TicketsResponse, *protocol.Problem)
}

// Router sends requests to targets. The context ends at the deadline of the
// request or when the caller disconnects.
type Router interface {
	Serve(ctx context.Context, r *Request) (*Response, *protocol.Problem)
}
