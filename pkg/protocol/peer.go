package protocol

import "net/http"

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

// Membership states. A higher state overrides a lower one at the same
// incarnation and sequence.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberDead
	MemberLeft
)

// Member describes one entry VM. Incarnation identifies the process;
// Sequence rises with each change that the process publishes about itself.
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

// NoticeKind tells what a Notice is about.
type NoticeKind uint8

// Kinds of notices.
const (
	// NoticeTargetLeaving tells that a target shows a sign of leaving.
	NoticeTargetLeaving NoticeKind = iota + 1
	// NoticeCrash tells that a request broke the connection to its target.
	NoticeCrash
	// NoticeRevision tells that a higher settings revision exists.
	NoticeRevision
	// NoticeTargetBack revokes NoticeTargetLeaving.
	NoticeTargetBack
	// NoticeSeats tells that the seats of a region should be divided again: some
	// have no holder, or a VM has joined.
	NoticeSeats
)

// Notice is a short-lived fact that every entry VM needs at once.
type Notice struct {
	Kind     NoticeKind
	ID       string // unique; notices with a known ID are ignored
	Subject  string // target name, request fingerprint or revision
	Target   string // target whose connection broke, for NoticeCrash
	Origin   string // peer address of the VM that saw it first
	TTLMs    int64  // remaining life time in milliseconds
	Revision int64  // revision for NoticeRevision
	Time     Timestamp
}

// Timestamp is a hybrid logical clock reading.
type Timestamp struct {
	WallMs  int64
	Logical uint32
}

// ExchangeRequest carries membership changes, notices and the sender's
// settings revision. Target, when set, asks the receiver to probe that member
// on behalf of the sender.
type ExchangeRequest struct {
	From    Member
	Members []Member
	Notices []Notice
	Probe   string
	Full    bool // asks for the complete member list
	Time    Timestamp
}

// ExchangeReply carries the receiver's changes back.
type ExchangeReply struct {
	From    Member
	Members []Member
	Notices []Notice
	Alive   bool // result of an indirect probe
	Time    Timestamp
}

// NotifyRequest pushes notices at once.
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
	Region     string   // of the target
	FromRegion string   // of the requester; empty if unknown
	Class      string   // run time class, usually the first path segment
	Exclude    []string // names of targets already tried
	WaitMs     int64    // longest time to queue; 0 asks for an answer at once
	DeadlineMs int64    // time left for the request
	Revision   int64
	Idempotent bool
}

// ReserveReply grants a slot or reports the owner's free slots.
type ReserveReply struct {
	Granted       bool
	ReservationID uint64
	Target        TargetRef
	HoldMs        int64 // the reservation ends after this time
	FreeSlots     int   // slots left for the service at this owner
	Revision      int64
}

// TargetRef identifies a target and its address.
type TargetRef struct {
	Name    string // unique path region/service/name
	Service string
	Region  string
	Zone    string
	Address string
}

// ReleaseResult tells the owner how a reserved request ended.
type ReleaseResult uint8

// Results of a reserved request.
const (
	ReleaseOK        ReleaseResult = iota + 1
	ReleaseUnused                  // the slot was not used
	ReleaseShed                    // the target refused before running
	ReleaseFailed                  // connection refused, reset or truncated answer
	ReleaseTimeout                 // the deadline passed
	ReleaseCancelled               // hedge loser or caller gone
)

// ReleaseRequest returns a reservation.
type ReleaseRequest struct {
	ReservationID uint64
	Result        ReleaseResult
	LatencyUs     int64
	Class         string
	Draining      bool // the answer carried HeaderDraining
}

// ReleaseReply reports the owner's free slots for the service.
type ReleaseReply struct {
	FreeSlots int
}

// ExecuteRequest passes a ticketed request to the VM that issued the ticket.
type ExecuteRequest struct {
	Ticket     string
	Service    string
	Method     string
	Path       string // with query
	Header     http.Header
	Body       []byte
	DeadlineMs int64
	RequestID  string
	FromRegion string // region of the sender, for the cap of the way back
	QueryOnly  bool   // never runs the request, only reports what is known
}

// ExecuteReply carries the outcome. Problem is set unless Outcome is
// OutcomeAnswered.
type ExecuteReply struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Target  string
	Problem *Problem
}

// BorrowRequest asks a peer for bytes of its share of a link.
type BorrowRequest struct {
	Requester string
	From, To  string // regions of the directed link
	Bytes     int64
}

// BorrowReply grants zero or more bytes, valid for a fixed time after the
// request was made.
type BorrowReply struct {
	Bytes int64
}

// SettingsRequest asks for the settings document if it is newer than Have, and
// for the seat tables that are newer than the given revisions by region.
type SettingsRequest struct {
	Have     int64
	Rejected int64 // highest revision known not to be valid
	Tables   map[string]int64
	Time     Timestamp // clock reading of the sender
}

// SettingsReply carries the document, or none if the peer has nothing newer.
type SettingsReply struct {
	Revision int64
	Document []byte
	Tables   []byte // JSON list of seat tables
	// Rejected is the document of a higher revision that is not valid, so that
	// every VM can show the fault. It is not packed.
	Rejected         []byte
	RejectedRevision int64
	// Confirmed tells that AgeMs is set: the time since the platform last
	// confirmed the sender's settings.
	Confirmed bool
	AgeMs     int64
	Time      Timestamp // clock reading of the sender
}
