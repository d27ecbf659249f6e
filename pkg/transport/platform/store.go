// Package platform is the interface to the platform's key-value store and its
// list of VMs. To support another platform, implement Store and VMList.
//
// # HTTP interface
//
// HTTPClient is the client for a platform with the following HTTP interface. All
// bodies are JSON, except that a PUT carries the value itself.
//
//	GET    /v1/kv/KEY                     EntryDocument
//	GET    /v1/kv/?prefix=P               EntriesDocument in key order
//	PUT    /v1/kv/KEY?cas=REV[&lease=ID]  body: value; RevisionDocument
//	DELETE /v1/kv/KEY?cas=REV             empty object
//	POST   /v1/leases                     body: LeaseDocument with ttl_ms; LeaseDocument with id
//	POST   /v1/leases/ID/keepalive        empty object
//	DELETE /v1/leases/ID                  empty object; revokes the lease
//	GET    /v1/watch?prefix=P&after=REV&wait=DURATION
//	                                      EntriesDocument, empty when the wait ended
//	GET    /v1/vms                        VMsDocument
//
// REV 0 means that the key must not exist. DURATION has the form of
// time.ParseDuration. Replies with an error carry an ErrorDocument:
//
//	404  the key does not exist                       ErrNotFound
//	409  the revision differs; current holds the entry  *ConflictError
//	410  the lease has expired                        ErrLeaseExpired
//	429  rate limit; the call was not executed        ErrRateLimited
//	503  outage; the call was not executed            ErrUnavailable
//	other 4xx  the call is invalid                    *RequestError
//
// After any other status, an invalid reply or a missing reply, it is unknown
// whether a write took effect, and the error is ErrReplyLost. It is
// ErrUnavailable for a write that got no connection and for any failed read.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID int64

// Entry is a key with its value. Revision is the revision of the store at the
// last write to this key; each write to the store increases it.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    LeaseID
}

// Errors of the store.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key does not exist in the store")
	// ErrUnavailable means that the store did not execute the call; nothing was
	// written. Try again later.
	ErrUnavailable = errors.New("store is unavailable; try again later")
	// ErrReplyLost means that the call was sent but got no valid reply; a write
	// may have taken effect. Read the key back before writing again.
	ErrReplyLost = errors.New("store reply was lost; read the key back before writing again")
	// ErrLeaseExpired means that the lease no longer exists. Grant a new one.
	ErrLeaseExpired = errors.New("lease has expired; grant a new one")
	// ErrRateLimited means that the store refused the call because of its rate
	// limit; nothing was written. Back off before the next call.
	ErrRateLimited = errors.New("store rate limit reached; back off before the next call")
)

// ConflictError reports a compare-and-swap that failed because the key has
// another revision.
type ConflictError struct {
	Current Entry // entry in the store; Revision is 0 if the key does not exist
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d; read it again and repeat the change on top of it",
		e.Current.Key, e.Current.Revision)
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the revision of key is expect (0: the key
	// does not exist) and returns the new revision. The key is removed when the
	// lease, if any, ends. It returns *ConflictError if the revision differs.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect int64, lease LeaseID) (int64, error)
	// Delete removes key if its revision is expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until an entry below prefix has a revision above after and
	// returns such entries. It returns none if the wait time of the store ends
	// first.
	Watch(ctx context.Context, prefix string, after int64) ([]Entry, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one element of the platform's list. Address is the peer address of an
// entry VM and the target address of a target VM.
type VM struct {
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	State   VMState `json:"state"`
}

// VMList is the platform's list of VMs. It lags behind the actual state.
type VMList interface {
	// VMs returns the current list of the platform.
	VMs(ctx context.Context) ([]VM, error)
}
