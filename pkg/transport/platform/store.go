// Package platform reaches the platform's key-value service and its list of
// VMs. Store and VMList are the whole interface; another service is supported
// by one more file that implements them.
//
// # HTTP interface
//
// HTTPClient is the adapter for a platform that speaks the following protocol. All
// bodies are JSON except for values, which a PUT carries as they are.
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
//	429  rate limit; the call was not taken           ErrRateLimited
//	503  outage; the call was not taken               ErrUnavailable
//	other 4xx  the call is invalid                    *RequestError
//
// Any other status, a broken reply or a missing reply leaves the effect of a
// write open and gives ErrReplyLost. A write that found no connection gives
// ErrUnavailable, and so does a read that failed for any reason.
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

// Entry is a key with its value. Revision rises with each write to the store
// and identifies the last write to this key.
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
	// ErrUnavailable means that the store did not take the call; nothing was
	// written. Try again later.
	ErrUnavailable = errors.New("store is unavailable; try again later")
	// ErrReplyLost means that the call was sent but no reply came; a write may
	// have taken effect. Read the key back before writing again.
	ErrReplyLost = errors.New("store reply was lost; read the key back before writing again")
	// ErrLeaseExpired means that the lease no longer exists. Grant a new one.
	ErrLeaseExpired = errors.New("lease has expired; grant a new one")
	// ErrRateLimited means that the store refused the call because of its rate
	// limit; nothing was written. Back off.
	ErrRateLimited = errors.New("store rate limit reached; back off before the next call")
)

// ConflictError reports a failed compare-and-swap with the entry found.
type ConflictError struct {
	Current Entry // zero Revision if the key does not exist
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
	// does not exist) and returns the new revision. With a lease the key is
	// removed when the lease ends. It returns *ConflictError when the revision
	// differs.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect int64, lease LeaseID) (int64, error)
	// Delete removes key if its revision is expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until an entry below prefix has a revision above after, or
	// until the wait time of the store ends; then it may return no entries.
	Watch(ctx context.Context, prefix string, after int64) ([]Entry, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list. It names entry VMs by peer address
// and target VMs by target address.
type VM struct {
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	State   VMState `json:"state"`
}

// VMList is the platform's list of VMs. It lags behind the truth.
type VMList interface {
	// VMs returns the list as the platform knows it now.
	VMs(ctx context.Context) ([]VM, error)
}
