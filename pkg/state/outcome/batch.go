package outcome

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"net/http"

	"hickoryroute/pkg/protocol"
)

// MaxBatchBytes is the exclusive upper limit of an encoded batch, which is the
// largest value that the platform stores.
const MaxBatchBytes = 1 << 20

const (
	// batchTargetBytes is the estimated size above which the next record starts
	// a new batch. A record holds at most 512 KiB of response, so a batch with
	// its overhead stays below MaxBatchBytes.
	batchTargetBytes = 400 << 10
	// recordOverheadBytes is the estimated size of field names, problem texts
	// and gob types in a record.
	recordOverheadBytes = 1 << 10
)

// ErrInvalidBatch is returned for batches that cannot be used.
var ErrInvalidBatch = errors.New("outcome batches are not usable; treat the tickets of the incarnation as unknown")

// record is the stored form of a ticket that is running or done.
type record struct {
	Sequence uint64
	IssuedMs int64
	Print    Fingerprint
	Reply    protocol.ExecuteReply
}

// batch is the stored form of a part of a Table. The batches of one export form
// a list.
type batch struct {
	Issuer      string
	Incarnation uint64
	Index       int
	Count       int   // number of batches in the list
	Complete    bool  // the table was sealed before it was listed
	HorizonMs   int64 // tickets issued before this time may be missing
	Records     []record
}

// Export seals the table and returns its outcomes as one or more encoded
// batches, each smaller than MaxBatchBytes. Runs in progress are listed as
// unknown. A Reader needs all batches.
func (t *Table) Export() ([][]byte, error) {
	t.Seal()
	groups := groupIntoBatches(t.records())
	// The horizon is computed after the records are listed, because a concurrent
	// sweep may have removed entries up to the current horizon.
	horizon := t.retentionHorizonMs(t.issuer.nowMs())
	out := make([][]byte, len(groups))
	for i, records := range groups {
		b := batch{
			Issuer: t.issuer.cfg.Address, Incarnation: t.issuer.cfg.Incarnation,
			Index: i, Count: len(groups), Complete: true, HorizonMs: horizon, Records: records,
		}
		var buf bytes.Buffer
		if err := gob.NewEncoder(&buf).Encode(b); err != nil {
			return nil, fmt.Errorf("encode outcome batch %d: %w", i, err)
		}
		if buf.Len() >= MaxBatchBytes {
			return nil, fmt.Errorf("%w: batch %d has %d bytes", ErrInvalidBatch, i, buf.Len())
		}
		out[i] = buf.Bytes()
	}
	return out, nil
}

// records lists all tickets that may have run. The table must be sealed before
// the call: once a shard has been listed, no run can start in it.
func (t *Table) records() []record {
	var list []record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			r := record{Sequence: e.ticket.Sequence, IssuedMs: e.ticket.IssuedMs, Print: e.fingerprint, Reply: e.reply}
			switch e.state {
			case stateDone:
				list = append(list, r)
			case stateRunning:
				r.Reply = unknownReply(http.StatusGatewayTimeout, protocol.CodeIssuerGone,
					"the issuer stopped while the request ran", "check the effect of the request at the service")
				list = append(list, r)
			}
		}
		s.mu.Unlock()
	}
	return list
}

// groupIntoBatches splits records into groups of about batchTargetBytes. There
// is at least one group.
func groupIntoBatches(list []record) [][]record {
	groups := [][]record{nil}
	size := int64(0)
	for _, r := range list {
		n := replyBytes(r.Reply) + recordOverheadBytes
		last := len(groups) - 1
		if size+n > batchTargetBytes && len(groups[last]) > 0 {
			groups = append(groups, nil)
			last++
			size = 0
		}
		groups[last] = append(groups[last], r)
		size += n
	}
	return groups
}

// Reader looks up the outcomes that an incarnation exported in a planned stop.
type Reader struct {
	issuer      string
	incarnation uint64
	complete    bool
	horizonMs   int64
	records     map[uint64]record
}

// NewReader decodes the batches of one incarnation, in any order. If batches
// are missing, the Reader reports the tickets that are not listed as unknown.
func NewReader(batches [][]byte) (*Reader, error) {
	if len(batches) == 0 {
		return nil, fmt.Errorf("%w: no batches are given", ErrInvalidBatch)
	}
	r := &Reader{records: map[uint64]record{}, complete: true}
	seenIndexes := map[int]bool{}
	count := 0
	for i, data := range batches {
		var b batch
		if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&b); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidBatch, err)
		}
		if i == 0 {
			r.issuer, r.incarnation, count, r.horizonMs = b.Issuer, b.Incarnation, b.Count, b.HorizonMs
		}
		if b.Issuer != r.issuer || b.Incarnation != r.incarnation || b.Count != count || b.HorizonMs != r.horizonMs {
			return nil, fmt.Errorf("%w: batch %d belongs to another list", ErrInvalidBatch, b.Index)
		}
		r.complete = r.complete && b.Complete && b.Index >= 0 && b.Index < count
		seenIndexes[b.Index] = true
		for _, rec := range b.Records {
			r.records[rec.Sequence] = rec
		}
	}
	r.complete = r.complete && count > 0 && len(seenIndexes) == count
	return r, nil
}

// Complete reports whether all batches of the list were present.
func (r *Reader) Complete() bool { return r.complete }

// Lookup reports the outcome of the request with the given ticket and
// fingerprint. A ticket that is missing from a complete list was not run, unless
// it was issued before the horizon of the list.
func (r *Reader) Lookup(ticket string, fingerprint Fingerprint) protocol.ExecuteReply {
	tk, err := Parse(ticket)
	if err != nil || tk.Issuer != r.issuer || tk.Incarnation != r.incarnation {
		return unknownReply(http.StatusBadGateway, protocol.CodeIssuerGone,
			"the stored outcomes belong to another issuer", "check the effect of the request at the service")
	}
	rec, listed := r.records[tk.Sequence]
	switch {
	case listed && (rec.IssuedMs != tk.IssuedMs || rec.Print != fingerprint):
		return ticketReusedReply()
	case listed:
		return rec.Reply
	case !r.complete:
		return unknownReply(http.StatusBadGateway, protocol.CodeIssuerGone,
			"the issuer of the ticket is gone and its list of outcomes is incomplete",
			"check the effect of the request at the service")
	case tk.IssuedMs < r.horizonMs:
		return expiredReply()
	}
	return notRunReply(http.StatusServiceUnavailable, protocol.CodeIssuerGone,
		"the issuer of the ticket stopped without running the request", "take a new ticket")
}
