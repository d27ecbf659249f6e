package protocol

import (
	"net/http"
	"time"
)

// Names of the peer RPC methods.
const (
	MethodExchange = "Peer.Exchange"
	MethodNotify   = "Peer.Notify"
	MethodReserve  = "Peer.Reserve"
	MethodRelease  = "Peer.Release"
	MethodExecute  = "Peer.Execute"
	MethodBorrow   = "Peer.Borrow"
	MethodSettings = "Peer.Settings"
)

// MemberState is the membership state of an entry VM as seen by its peers.
type MemberState uint8

// Membership states. At the same incarnation and sequence, a higher state
// overrides a lower one.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDead
	MemberLeft
)

// Member describes one entry VM. Incarnation identifies its process, and
// Sequence increases with each change that the process publishes about itself.
type Member struct {
	PeerAddress     string
	CallerAddress   string
	OperatorAddress string
	Zone            string
	Region          string
	Incarnation     uint64
	Sequence        uint64
	State           MemberState
	Ready           bool
	Leaving         bool
	Revision        int64
	FreeSlots       map[string]int // free slots of owned targets by service
}

// NoticeKind is the kind of a Notice.
type NoticeKind uint8

// Kinds of notices.
const (
	// NoticeTargetLeaving reports a leaving signal of a target.
	NoticeTargetLeaving NoticeKind = iota + 1
	// NoticeCrash reports that a request broke the connection to its target.
	NoticeCrash
	// NoticeRevision reports that a higher settings revision exists.
	NoticeRevision
	// NoticeTargetBack revokes NoticeTargetLeaving.
	NoticeTargetBack
	// NoticeSeats asks the VMs of a region to divide its seats again, because a
	// seat has no holder or a VM has joined. A seat is an exclusive share of the
	// targets of a region.
	NoticeSeats
)

// Notice is a short-lived message that is spread to all entry VMs at once.
type Notice struct {
	Kind     NoticeKind
	ID       string // unique; a notice with an ID received before is ignored
	Subject  string // target name, request fingerprint or revision
	Target   string // for NoticeCrash, the target whose connection broke
	Origin   string // peer address of the VM that sent the notice first
	TTLMs    int64  // remaining lifetime in milliseconds
	Revision int64  // for NoticeRevision, the settings revision
	Time     Timestamp
}

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	WallMs  int64
	Logical uint32
}

// ExchangeRequest carries membership changes, notices and, in From, the settings
// revision of the sender. Probe, if set, asks the receiver to probe the member
// with that address on behalf of the sender.
type ExchangeRequest struct {
	From    Member
	Members []Member
	Notices []Notice
	Probe   string
	Full    bool // asks for the complete member list
	Time    Timestamp
}

// ExchangeReply carries the membership changes and notices of the receiver.
type ExchangeReply struct {
	From    Member
	Members []Member
	Notices []Notice
	Alive   bool // whether the probed member responded
	Time    Timestamp
}

// NotifyRequest sends notices without waiting for the next exchange.
type NotifyRequest struct {
	From    string
	Notices []Notice
	Time    Timestamp
}

// NotifyReply acknowledges a NotifyRequest.
type NotifyReply struct{}

// ReserveRequest asks the owner of targets for one slot.
type ReserveRequest struct {
	Requester  string // peer address
	Service    string
	Region     string   // region of the target
	FromRegion string   // region of the requester; empty if unknown
	Class      string   // class of requests with similar run times, usually the first path segment
	Exclude    []string // names of targets that have already been tried
	WaitMs     int64    // longest time in the queue; 0 asks for an immediate reply
	DeadlineMs int64    // remaining time for the request
	Revision   int64
	Idempotent bool
}

// ReserveReply grants a slot or reports the free slots of the owner.
type ReserveReply struct {
	Granted       bool
	ReservationID uint64
	Target        TargetRef
	HoldMs        int64 // time until the reservation expires
	FreeSlots     int   // free slots of the service at this owner
	Revision      int64
}

// TargetRef identifies a target and its address.
type TargetRef struct {
	Name    string // unique path, region/service/name
	Service string
	Region  string
	Zone    string
	Address string
}

// ReleaseResult is the result of a request that held a reservation.
type ReleaseResult uint8

// Results of a request that held a reservation.
const (
	ReleaseOK        ReleaseResult = iota + 1
	ReleaseUnused                  // the reserved slot was not used
	ReleaseShed                    // the target refused the request without running it
	ReleaseFailed                  // connection refused or reset, or response truncated
	ReleaseTimeout                 // the deadline passed
	ReleaseCancelled               // another attempt was faster, or the caller disconnected
)

// ReleaseRequest returns a reservation.
type ReleaseRequest struct {
	ReservationID uint64
	Result        ReleaseResult
	LatencyUs     int64
	Class         string
	Draining      bool // the response carried HeaderDraining
}

// ReleaseReply reports the free slots of the service at the owner.
type ReleaseReply struct {
	FreeSlots int
}

// ExecuteRequest forwards a ticketed request to the VM that issued the ticket.
type ExecuteRequest struct {
	Ticket     string
	Service    string
	Method     string
	Path       string // path with query
	Header     http.Header
	Body       []byte
	DeadlineMs int64
	RequestID  string
	FromRegion string // region of the sender, to account the response to the link back
	QueryOnly  bool   // reports the outcome without running the request
	// ConnectionAgeUs is the time from the first message on the connection to the call,
	// by the clock of the caller; 0 from versions that do not state it.
	ConnectionAgeUs int64
}

// SetConnectionAge sets ConnectionAgeUs.
func (r *ExecuteRequest) SetConnectionAge(age time.Duration) {
	r.ConnectionAgeUs = max(1, age.Microseconds())
}

// ConnectionAge returns the age of the connection, or false if it is not stated.
func (r *ExecuteRequest) ConnectionAge() (time.Duration, bool) {
	return time.Duration(r.ConnectionAgeUs) * time.Microsecond, r.ConnectionAgeUs > 0
}

// ExecuteReply carries the outcome and the response of a request. Problem is set
// unless Outcome is OutcomeAnswered.
type ExecuteReply struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Target  string
	Problem *Problem
}

// BorrowRequest asks a peer to lend bytes of its share of a link.
type BorrowRequest struct {
	Requester string
	From, To  string // regions of the directed link
	Bytes     int64
}

// BorrowReply grants zero or more bytes. The loan is valid for a fixed time from
// the request on.
type BorrowReply struct {
	Bytes int64
}

// SettingsRequest asks for the settings document if its revision is higher than
// Have, and for the seat tables whose revisions are higher than those in Tables.
type SettingsRequest struct {
	Have     int64
	Rejected int64            // highest settings revision that the sender has found invalid
	Tables   map[string]int64 // revision of the sender's seat table by region
	Time     Timestamp        // clock reading of the sender
}

// SettingsReply carries the settings document, or none if the receiver of the
// request has nothing newer.
type SettingsReply struct {
	Revision int64
	Document []byte
	Tables   []byte // JSON list of seat tables
	// Rejected is the document of a higher revision that is invalid, so that every
	// VM can report the error. It is not compressed.
	Rejected         []byte
	RejectedRevision int64
	// Confirmed is true if AgeMs is set. AgeMs is the time since the platform last
	// confirmed the settings of the sender.
	Confirmed bool
	AgeMs     int64
	Time      Timestamp // clock reading of the sender
}
