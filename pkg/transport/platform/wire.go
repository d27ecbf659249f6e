package platform

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
)

// EntryDocument is the JSON form of an Entry. Values are base64 encoded.
type EntryDocument struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
}

// EntriesDocument is the reply to a list or watch.
type EntriesDocument struct {
	Entries []EntryDocument `json:"entries"`
}

// RevisionDocument is the reply to a write.
type RevisionDocument struct {
	Revision int64 `json:"revision"`
}

// LeaseDocument is the body and the reply of a lease call.
type LeaseDocument struct {
	ID    int64 `json:"id,omitempty"`
	TTLMs int64 `json:"ttl_ms,omitempty"`
}

// VMsDocument is the reply to GET /v1/vms.
type VMsDocument struct {
	VMs []VM `json:"vms"`
}

// ErrorDocument is the body of any reply with an error status. Current is set
// for status 409 only.
type ErrorDocument struct {
	Error   string         `json:"error"`
	Current *EntryDocument `json:"current,omitempty"`
}

// Document converts e to its JSON form.
func (e Entry) Document() EntryDocument {
	return EntryDocument{Key: e.Key, Value: e.Value, Revision: e.Revision, Lease: int64(e.Lease)}
}

// Entry converts d to an Entry.
func (d EntryDocument) Entry() Entry {
	return Entry{Key: d.Key, Value: d.Value, Revision: d.Revision, Lease: LeaseID(d.Lease)}
}

// validate returns an error if d cannot be an entry of a store.
func (d EntryDocument) validate() error {
	switch {
	case d.Key == "":
		return errors.New("entry has no key")
	case d.Revision <= 0:
		return fmt.Errorf("entry %q has revision %d; expected a positive one", d.Key, d.Revision)
	case len(d.Value) > MaxValueBytes:
		return fmt.Errorf("entry %q has %d bytes; the limit is %d", d.Key, len(d.Value), MaxValueBytes)
	}
	return nil
}

// decodeEntry parses the reply to a get of key.
func decodeEntry(data []byte, key string) (Entry, error) {
	var d EntryDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return Entry{}, err
	}
	if err := d.validate(); err != nil {
		return Entry{}, err
	}
	if d.Key != key {
		return Entry{}, fmt.Errorf("requested key %q, but the reply has key %q", key, d.Key)
	}
	return d.Entry(), nil
}

// decodeEntries parses the reply to a list or watch.
func decodeEntries(data []byte) ([]Entry, error) {
	var d EntriesDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(d.Entries))
	for _, doc := range d.Entries {
		if err := doc.validate(); err != nil {
			return nil, err
		}
		entries = append(entries, doc.Entry())
	}
	return entries, nil
}

// decodeRevision parses the reply to a write.
func decodeRevision(data []byte) (int64, error) {
	var d RevisionDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return 0, err
	}
	if d.Revision <= 0 {
		return 0, fmt.Errorf("write reply has revision %d; expected a positive one", d.Revision)
	}
	return d.Revision, nil
}

// decodeLease parses the reply to a lease grant.
func decodeLease(data []byte) (LeaseID, error) {
	var d LeaseDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return 0, err
	}
	if d.ID <= 0 {
		return 0, fmt.Errorf("grant reply has lease %d; expected a positive one", d.ID)
	}
	return LeaseID(d.ID), nil
}

// decodeVMs parses the VM list. A VM with an unknown state makes the whole list
// invalid, because a VM that is missing from the list loses its seats.
func decodeVMs(data []byte) ([]VM, error) {
	var d VMsDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	if d.VMs == nil {
		return nil, errors.New("the reply has no VM list")
	}
	for _, vm := range d.VMs {
		if vm.Address == "" {
			return nil, errors.New("the VM list has a VM without address")
		}
		if vm.State != VMLive && vm.State != VMLeaving {
			return nil, fmt.Errorf("VM %q has unknown state %q", vm.Address, vm.State)
		}
	}
	return d.VMs, nil
}

// decodeConflict parses the body of a 409 reply for key.
func decodeConflict(data []byte, key string) (*ConflictError, error) {
	var d ErrorDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	if d.Current == nil || d.Current.Key == "" {
		return &ConflictError{Current: Entry{Key: key}}, nil
	}
	if d.Current.Key != key || d.Current.Revision < 0 {
		return nil, fmt.Errorf("conflict reply for key %q has key %q at revision %d", key, d.Current.Key, d.Current.Revision)
	}
	return &ConflictError{Current: d.Current.Entry()}, nil
}
