package protocol

// TargetLoad is the load of a target as one VM has recorded it. InFlight counts
// the requests of that VM alone. SlownessPercent is the last reported slowness of
// the machine of the target, in percent of the usual time, or 0 without a
// report.
type TargetLoad struct {
	Target          string
	InFlight        int
	SlownessPercent int
	SlownessAgeMs   int
}

// TargetLimit is the number of requests a second that a target takes from all VMs
// together. The target has stated it to the sender AgeMs ago.
type TargetLimit struct {
	Target    string
	PerSecond float64
	AgeMs     int64
}

// ServiceUse is the utilization of the slots of a service in one region. It
// exceeds 1 while requests are queued.
type ServiceUse struct {
	Service string
	Use     float64
}

// LoadsRequest reports the requests in flight of the sender to a peer in the
// same region, or the utilization of its region to a peer in another one. The
// reply carries the same of the peer, so that one call serves both.
type LoadsRequest struct {
	From   string // id of the sending VM
	Region string
	Zone   string
	// RoundTripUs is the shortest round trip that the sender has measured to the zone
	// of the receiver, if that is another zone of the same region; 0 if there is none.
	// Of each pair of VMs only one calls and can measure it.
	RoundTripUs int64
	// Brief asks for a reply without loads, because the sender or the receiver
	// handles no requests.
	Brief bool
	Loads []TargetLoad
	// Packed holds the loads in place of Loads (PackLoads).
	Packed []byte
	// AcceptsPacked is true if the sender can read packed loads.
	AcceptsPacked bool
	Uses          []ServiceUse
	// Limits lists the targets that have stated a limit to the sender.
	Limits []TargetLimit
	// Newest is the revision of the newest operator entry that the sender has, in the
	// era of the store that the entries are of. Era is the latest era that the sender
	// knows of. VMs of earlier versions send none.
	Newest    int64
	NewestEra uint64
	Era       uint64
	// Crashes lists requests that have recently crashed targets, or all if CrashDigest
	// differed from that in the last reply of the receiver.
	Crashes []CrashNotice
	// CrashDigest is a digest of the quarantined requests that the sender knows; 0 if
	// it knows none, and from VMs of earlier versions.
	CrashDigest uint64
	CrashHistory
	// Refusals lists requests whose callers may come back to another VM.
	Refusals []RefusalNotice
}

// LoadsReply reports the state of the peer.
type LoadsReply struct {
	From   string
	Region string
	Loads  []TargetLoad
	// Packed and AcceptsPacked are those of LoadsRequest.
	Packed        []byte
	AcceptsPacked bool
	Uses          []ServiceUse
	Limits        []TargetLimit
	Newest        int64
	// NewestEra and Era are as in LoadsRequest. Version is the version of the routes in
	// force. Unconfirmed is true if the store has come back from an older copy and has
	// not confirmed that version since.
	NewestEra   uint64
	Era         uint64
	Version     uint64
	Unconfirmed bool
	Crashes     []CrashNotice
	// CrashDigest is as in LoadsRequest, after the sender has taken over its Crashes.
	CrashDigest uint64
	CrashHistory
	Refusals []RefusalNotice
}

// CrashHistory lets a VM that has started learn of all crashes that other VMs know, also
// of requests that are not quarantined yet. Earlier versions neither ask nor send.
type CrashHistory struct {
	// WantsHistory is true until the sender has received a history.
	WantsHistory bool
	// HasHistory is true if Crashes lists all crashes that the sender knows.
	HasHistory bool
}

// RefusalNotice is a request that the sender has refused. LeftMs is the time until
// its caller gives up, and BeganMs that since its first try, when the message was
// sent.
type RefusalNotice struct {
	Key             uint64
	LeftMs, BeganMs int64
}

// CrashNotice lists the targets that a request has crashed since a target last
// responded to it. Ages are times before the message was sent.
type CrashNotice struct {
	Fingerprint uint64
	Crashes     []TargetCrash
	// Targets and TargetAgesMs hold the same for VMs of earlier versions, which do not
	// send Crashes. The oldest of them send no ages.
	Targets       []string
	TargetAgesMs  []int64
	AgeMs         int64 // age of the last crash
	Answered      bool  // a target has responded to the request
	AnsweredAgeMs int64
	Trials        int // trials since the quarantine began
	TrialAgeMs    int64
	Seen          bool // the request has come while it was quarantined
	SeenAgeMs     int64
}

// TargetCrash is the end of the connection of one start of a target while it ran a
// request. The ages are those of the attempt and of its end, in microseconds.
type TargetCrash struct {
	Target           string
	StartID          int64
	SentAgeUs, AgeUs int64
	Disproved        bool // the target has not ended
}

// CopyKind is a kind of entries that a VM has copied from the store.
type CopyKind int

// Kinds of copied entries.
const (
	CopyOperatorEntries CopyKind = iota + 1 // entries that operators write
	CopyTargetRecords                       // records of the targets
	CopyVMRecords                           // records of the entry VMs
)

// CopyRequest asks for the entries of one kind that have changed after a
// revision of the store, and optionally for those of other kinds as well.
type CopyRequest struct {
	Kind  CopyKind
	After int64
	// Era is the era of the store that After belongs to. VMs of earlier versions send
	// none.
	Era    uint64
	Others []CopyPosition
	// Version is the version of the routes in force on the sender.
	Version uint64
	// AcceptsPacked is true if the sender can read CopyReply.Packed. Peers of
	// earlier versions cannot.
	AcceptsPacked bool
}

// CopyPosition is the revision up to which the sender has the entries of one
// kind.
type CopyPosition struct {
	Kind  CopyKind
	After int64
	Era   uint64 // as in CopyRequest
}

// CopyEntry is one entry of the store.
type CopyEntry struct {
	Key      string
	Value    []byte
	Revision int64
}

// CopyReply carries the changed and deleted entries. Revision is 0 if the peer
// has not read the store yet.
type CopyReply struct {
	Revision int64
	// Era is the era of the store that Revision belongs to. VMs of earlier versions send
	// none.
	Era uint64
	// Full is true if Entries holds all entries instead of only the changes.
	Full    bool
	Entries []CopyEntry
	// Packed holds many entries in place of Entries, compressed. Records of targets
	// repeat the same words, so this takes a small part of their size.
	Packed  []byte
	Deleted []string
	AgeMs   int64 // time since the store last confirmed the entries
	// VerifiedAgeMs is the age of the entries at most, whatever the store has failed to
	// report to watches. VMs of earlier versions send 0, which means that it is not known.
	VerifiedAgeMs int64
	// Others holds the replies for CopyRequest.Others, in their order. Peers of
	// earlier versions leave it empty.
	Others []CopyReply
	// Carried holds what is in force on the peer although the store has lost it, or nil.
	Carried *CarriedEntries
}

// CarriedEntries holds what operators wrote before the store came back from an older
// copy, and what they have not written again yet.
type CarriedEntries struct {
	// Config is the entry of the routes in force, if they are newer than those of the
	// sender of the request and the store may have lost them. The store confirmed them
	// ConfigAgeMs ago.
	Config      *CopyEntry
	ConfigAgeMs int64
	// Evacuations are the entries of evacuated zones. They stay in force for RemainingMs.
	Evacuations []CopyEntry
	RemainingMs int64
}
