package protocol

// TargetLoad is what one VM knows of a target: its own requests in flight and
// the last report of the slowness of the target's machine, in percent of the
// usual time, 0 for none.
type TargetLoad struct {
	Target          string
	InFlight        int
	SlownessPercent int
	SlownessAgeMs   int
}

// ServiceUse is the share of the slots of a service in one region that is in
// use. It exceeds 1 while requests wait.
type ServiceUse struct {
	Service string
	Use     float64
}

// LoadsRequest tells a peer what this VM has in flight, if the peer is of the
// same region, and how busy the region is, if it is not. The reply tells the
// same of the peer, so that each pair exchanges once.
type LoadsRequest struct {
	From   string // id of the sending VM
	Region string
	// Brief asks for a reply without loads, because the sender or the receiver
	// carries no requests.
	Brief bool
	Loads []TargetLoad
	Uses  []ServiceUse
	// Newest is the revision of the newest entry of the operators that the
	// sender knows.
	Newest int64
	// Crashes lists requests that have lately crashed targets.
	Crashes []CrashNotice
}

// LoadsReply is the peer's own state.
type LoadsReply struct {
	From    string
	Region  string
	Loads   []TargetLoad
	Uses    []ServiceUse
	Newest  int64
	Crashes []CrashNotice
}

// CrashNotice tells which targets a request has crashed.
type CrashNotice struct {
	Fingerprint uint64
	Targets     []string
	AgeMs       int64 // time since the last crash
}

// CopyKind names what a VM has read from the store.
type CopyKind int

// Kinds of copies.
const (
	CopyOperatorEntries CopyKind = iota + 1 // entries of the operators
	CopyTargetRecords                       // records of the targets
	CopyVMRecords                           // records of the entry VMs
)

// CopyRequest asks for what has changed after a revision of the store.
type CopyRequest struct {
	Kind  CopyKind
	After int64
}

// CopyEntry is one entry of the store.
type CopyEntry struct {
	Key      string
	Value    []byte
	Revision int64
}

// CopyReply carries what has changed. Revision 0 means that the peer has read
// nothing yet.
type CopyReply struct {
	Revision int64
	// Full is true if Entries holds all entries.
	Full    bool
	Entries []CopyEntry
	Deleted []string
	AgeMs   int64 // time since the store confirmed the entries
}
