// Package outcome issues tickets, runs each ticketed request at most once and
// keeps its outcome.
//
// A ticket has the form
//
//	<issuer address>~<incarnation>~<issue time>~<sequence>~<MAC>
//
// with the incarnation in hexadecimal, the time in Unix milliseconds and the
// MAC in hexadecimal. An incarnation is one process of an entry VM. Only the
// incarnation that issued a ticket may run a request under it. It keeps the
// outcomes in a Table and exports them as batches in a planned stop. Another VM
// reads the batches with a Reader.
//
// # States of a ticket
//
// A ticket is new, running, done or closed. A run that ends with
// OutcomeAnswered or OutcomeUnknown makes the ticket done, and no other run
// starts under it. A run that ends with OutcomeNotRun makes it new again: every
// copy of the request that waited for that run gets OutcomeNotRun, and a copy
// that arrives later may run. OutcomeNotRun therefore holds for the copy that
// received it and for all earlier copies that are known to have ended, but not
// for a copy that is still in transit. Query closes a ticket that has not run,
// so that its OutcomeNotRun holds for copies in transit as well.
package outcome

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// DefaultLifetime is the time from issue to expiry of a ticket.
	DefaultLifetime = 10 * time.Minute
	// MaxTicketBytes limits the length of a ticket.
	MaxTicketBytes = 256

	ticketFields = 5
	macBytes     = 16
	separator    = "~"
)

// ErrBadTicket is returned for a ticket that cannot be parsed or verified.
var ErrBadTicket = errors.New("ticket is malformed or was not issued here; take a new one by POST /v1/tickets")

// Ticket is the parsed form of a ticket.
type Ticket struct {
	Issuer      string // peer address of the issuing VM
	Incarnation uint64
	IssuedMs    int64 // Unix milliseconds by the clock of the issuer
	Sequence    uint64
	mac         string
}

// String returns the text form of t.
func (t Ticket) String() string { return t.signedPart() + separator + t.mac }

func (t Ticket) signedPart() string {
	return strings.Join([]string{
		t.Issuer,
		strconv.FormatUint(t.Incarnation, 16),
		strconv.FormatInt(t.IssuedMs, 10),
		strconv.FormatUint(t.Sequence, 10),
	}, separator)
}

// Parse parses a ticket without verifying its MAC, which only the issuer can
// verify. It accepts only the exact form that Ticket.String returns.
func Parse(ticket string) (Ticket, error) {
	if len(ticket) > MaxTicketBytes {
		return Ticket{}, fmt.Errorf("%w (longer than %d bytes)", ErrBadTicket, MaxTicketBytes)
	}
	fields := strings.Split(ticket, separator)
	if len(fields) != ticketFields || fields[0] == "" {
		return Ticket{}, fmt.Errorf("%w (needs %d fields)", ErrBadTicket, ticketFields)
	}
	var t Ticket
	var errs [4]error
	t.Issuer = fields[0]
	t.Incarnation, errs[0] = strconv.ParseUint(fields[1], 16, 64)
	t.IssuedMs, errs[1] = strconv.ParseInt(fields[2], 10, 64)
	t.Sequence, errs[2] = strconv.ParseUint(fields[3], 10, 64)
	_, errs[3] = hex.DecodeString(fields[4])
	t.mac = fields[4]
	if err := errors.Join(errs[:]...); err != nil {
		return Ticket{}, fmt.Errorf("%w (%w)", ErrBadTicket, err)
	}
	if t.String() != ticket || len(t.mac) != 2*macBytes {
		return Ticket{}, fmt.Errorf("%w (not in canonical form)", ErrBadTicket)
	}
	return t, nil
}

// IssuerConfig holds the settings of an Issuer.
type IssuerConfig struct {
	Address     string        // peer address of this VM
	Incarnation uint64        // identifies this process
	Secret      []byte        // MAC key; nil generates a random key, as all but tests should
	Lifetime    time.Duration // default DefaultLifetime
	Now         func() time.Time
}

// Issuer issues and verifies the tickets of one incarnation.
type Issuer struct {
	cfg      IssuerConfig
	start    time.Time
	sequence atomic.Uint64
}

// NewIssuer returns an Issuer.
func NewIssuer(cfg IssuerConfig) *Issuer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Lifetime <= 0 {
		cfg.Lifetime = DefaultLifetime
	}
	if cfg.Secret == nil {
		cfg.Secret = make([]byte, sha256.Size)
		_, _ = rand.Read(cfg.Secret) // never fails
	}
	return &Issuer{cfg: cfg, start: cfg.Now()}
}

// Address returns the peer address in the tickets of i.
func (i *Issuer) Address() string { return i.cfg.Address }

// Incarnation returns the incarnation in the tickets of i.
func (i *Issuer) Incarnation() uint64 { return i.cfg.Incarnation }

// Lifetime returns the time from issue to expiry.
func (i *Issuer) Lifetime() time.Duration { return i.cfg.Lifetime }

// nowMs returns the current time in Unix milliseconds. It follows the monotonic
// clock from the start of the issuer, so that a step of the wall clock neither
// expires tickets nor makes expired ones valid again.
func (i *Issuer) nowMs() int64 {
	return i.start.UnixMilli() + i.cfg.Now().Sub(i.start).Milliseconds()
}

// Issue returns a new ticket for one request to service.
func (i *Issuer) Issue(service string) string {
	t := Ticket{
		Issuer: i.cfg.Address, Incarnation: i.cfg.Incarnation,
		IssuedMs: i.nowMs(), Sequence: i.sequence.Add(1),
	}
	t.mac = i.sign(t, service)
	return t.String()
}

// Verify checks that t was issued by i for service.
func (i *Issuer) Verify(t Ticket, service string) error {
	if t.Issuer != i.cfg.Address || t.Incarnation != i.cfg.Incarnation {
		return fmt.Errorf("%w (issuer is %s, incarnation %x)", ErrBadTicket, t.Issuer, t.Incarnation)
	}
	if !hmac.Equal([]byte(t.mac), []byte(i.sign(t, service))) {
		return fmt.Errorf("%w (the MAC does not match service %q)", ErrBadTicket, service)
	}
	return nil
}

func (i *Issuer) sign(t Ticket, service string) string {
	h := hmac.New(sha256.New, i.cfg.Secret)
	h.Write([]byte(t.signedPart()))
	h.Write([]byte(separator + service))
	return hex.EncodeToString(h.Sum(nil)[:macBytes])
}

func (i *Issuer) expiryMs(t Ticket) int64 { return t.IssuedMs + i.cfg.Lifetime.Milliseconds() }

// Fingerprint identifies the request for which a ticket is used.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns a digest of the parts that are the same in all copies
// of a request. Headers are left out because they differ between copies.
func NewFingerprint(service, method, path string, body []byte) Fingerprint {
	digest := sha256.Sum256(body)
	h := sha256.New()
	for _, part := range []string{service, method, path} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(digest[:])
	return Fingerprint(h.Sum(nil))
}
