package outcome

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"net/http"

	"hickoryroute/pkg/protocol"
)

// MaxBatchBytes limits an encoded batch to the largest value of the platform.
const MaxBatchBytes = 1 << 20

// batchTargetBytes ends a batch before the next record. The largest record
// has 512 KiB of answer, so that batch and overhead stay below MaxBatchBytes.
const (
	batchTargetBytes    = 400 << 10
	recordOverheadBytes = 1 << 10 // field names, problem texts and gob types
)

// ErrInvalidBatch is returned for batches that cannot be used.
var ErrInvalidBatch = errors.New("outcome batches are not usable; treat the tickets of the incarnation as unknown")

// record is one finished or running ticket.
type record struct {
	Sequence uint64
	IssuedMs int64
	Print    Fingerprint
	Reply    protocol.ExecuteReply
}

// batch is the stored form of a part of a table.
type batch struct {
	Issuer      string
	Incarnation uint64
	Index       int
	Count       int   // batches of the whole list
	Complete    bool  // the table was sealed before the list was made
	HorizonMs   int64 // tickets issued earlier may be missing from the list
	Records     []record
}

// Export seals the table and returns its outcomes as encoded batches of less
// than MaxBatchBytes. Runs that are still in progress are listed as unknown.
// There is at least one batch. A Reader needs all of them.
func (t *Table) Export() ([][]byte, error) {
	t.Seal()
	groups := group(t.records())
	// Taken after the records, because a concurrent sweep may have removed
	// entries up to the present horizon.
	horizon := t.horizonMs(t.issuer.nowMs())
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

// records lists all tickets that may have run. A shard is locked after the
// table was sealed, so that no run can start in it afterwards.
func (t *Table) records() []record {
	var list []record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			r := record{Sequence: e.ticket.Sequence, IssuedMs: e.ticket.IssuedMs, Print: e.print, Reply: e.reply}
			switch e.state {
			case stateDone:
				list = append(list, r)
			case stateRunning:
				r.Reply = unknown(http.StatusGatewayTimeout, protocol.CodeIssuerGone,
					"the issuer stopped while the request ran", "check the effect of the request at the service")
				list = append(list, r)
			}
		}
		s.mu.Unlock()
	}
	return list
}

func group(list []record) [][]record {
	groups := [][]record{nil}
	size := int64(0)
	for _, r := range list {
		n := answerSize(r.Reply) + recordOverheadBytes
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

// Reader answers for the tickets of an incarnation that stopped as planned.
type Reader struct {
	issuer      string
	incarnation uint64
	complete    bool
	horizonMs   int64
	records     map[uint64]record
}

// NewReader decodes the batches of one incarnation, in any order. With missing
// batches the Reader knows the listed tickets but no others.
func NewReader(batches [][]byte) (*Reader, error) {
	if len(batches) == 0 {
		return nil, fmt.Errorf("%w: there are none", ErrInvalidBatch)
	}
	r := &Reader{records: map[uint64]record{}, complete: true}
	seen := map[int]bool{}
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
		seen[b.Index] = true
		for _, rec := range b.Records {
			r.records[rec.Sequence] = rec
		}
	}
	r.complete = r.complete && count > 0 && len(seen) == count
	return r, nil
}

// Complete reports whether all batches were present.
func (r *Reader) Complete() bool { return r.complete }

// Lookup reports the outcome of a copy of the request with the given
// fingerprint. A ticket that is not on a complete list was not run.
func (r *Reader) Lookup(ticket string, print Fingerprint) protocol.ExecuteReply {
	tk, err := Parse(ticket)
	if err != nil || tk.Issuer != r.issuer || tk.Incarnation != r.incarnation {
		return unknown(http.StatusBadGateway, protocol.CodeIssuerGone,
			"the stored outcomes belong to another issuer", "check the effect of the request at the service")
	}
	rec, listed := r.records[tk.Sequence]
	switch {
	case listed && (rec.IssuedMs != tk.IssuedMs || rec.Print != print):
		return reused()
	case listed:
		return rec.Reply
	case !r.complete:
		return unknown(http.StatusBadGateway, protocol.CodeIssuerGone,
			"the issuer of the ticket is gone and its list of outcomes is incomplete",
			"check the effect of the request at the service")
	case tk.IssuedMs < r.horizonMs:
		return expired()
	}
	return refuse(http.StatusServiceUnavailable, protocol.CodeIssuerGone,
		"the issuer of the ticket stopped without running the request", "take a new ticket")
}
