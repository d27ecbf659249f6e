// Package operatorhttp is the HTTP interface for operators: it shows and edits
// the tree of settings, reports status, members, metrics and the time line.
// Client is the matching Go client.
package operatorhttp

import (
	"context"
	"io"
	"time"

	"hickoryroute/pkg/state/timeline"
)

// Backend is what the operator interface needs from an entry VM.
type Backend interface {
	// Tree returns the settings in force.
	Tree() TreeReply
	// Explain returns each setting in force at path and where it comes from.
	Explain(path string) (ExplainReply, error)
	// Edit applies one change; author is the authenticated operator.
	Edit(ctx context.Context, author string, edit EditRequest) (EditReply, error)
	// Validate checks a tree and compares it with the one in force.
	Validate(tree string) (ValidateReply, error)
	// History returns the last accepted changes, newest first.
	History(ctx context.Context) ([]Change, error)
	// RevisionText returns the tree of an earlier revision.
	RevisionText(ctx context.Context, revision int64) (string, error)
	// Status returns regions, links, targets and members as this VM sees them.
	Status() StatusReply
	// Timeline returns the events that this VM keeps.
	Timeline() []timeline.Event
	// Ready tells whether the VM may take new work, and why not.
	Ready() (bool, string)
	// SettingsAge returns the time since the settings were last confirmed.
	SettingsAge() time.Duration
	// WriteMetrics writes all metrics of the VM in the Prometheus text format.
	WriteMetrics(w io.Writer)
}

// TreeReply holds the settings in force.
type TreeReply struct {
	Revision        int64          `json:"revision"`
	Author          string         `json:"author"`
	Reason          string         `json:"reason"`
	At              time.Time      `json:"at"`
	Tree            string         `json:"tree"` // YAML
	Unattributed    []Unattributed `json:"unattributed,omitempty"`
	RejectionReason string         `json:"fault,omitempty"` // why a newer revision is not in force
}

// Unattributed is a value that was written to the store without the operator
// interface.
type Unattributed struct {
	Path     string `json:"path"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
}

// ExplainReply lists the settings in force at a path.
type ExplainReply struct {
	Path         string         `json:"path"`
	Revision     int64          `json:"revision"`
	Settings     []Setting      `json:"settings"`
	Expired      []Override     `json:"expired,omitempty"` // overrides that no longer count
	Unattributed []Unattributed `json:"unattributed,omitempty"`
}

// Setting is one rule in force and the branch that sets it.
type Setting struct {
	Key      string     `json:"key"`
	Value    string     `json:"value"`
	Source   string     `json:"from"` // path that sets it, or "default"
	Override bool       `json:"override"`
	Author   string     `json:"author,omitempty"`
	Reason   string     `json:"reason,omitempty"`
	SetAt    *time.Time `json:"set_at,omitempty"`
	Expires  *time.Time `json:"expires,omitempty"`
}

// Override is one rule that an override sets.
type Override struct {
	Path    string     `json:"path"`
	Key     string     `json:"key"`
	Value   string     `json:"value"`
	Author  string     `json:"author"`
	Reason  string     `json:"reason"`
	SetAt   *time.Time `json:"set_at,omitempty"`
	Expires *time.Time `json:"expires,omitempty"`
	Expired bool       `json:"expired,omitempty"`
}

// Operations of an EditRequest.
const (
	OpSet         = "set"     // set or replace the override of Path with Rules
	OpRemove      = "remove"  // remove the override of Path
	OpDrain       = "drain"   // set drain: true in the override of Path
	OpRestore     = "restore" // remove drain from the override of Path
	OpApply       = "apply"   // replace the whole tree by Tree; needs BaseRevision once there is a tree
	OpRollForward = "roll"    // accept the content of Revision as a new revision
)

// EditRequest is one change of the tree. RequestID makes it safe to send the
// request again. BaseRevision is the revision the change was made on; 0 takes the
// newest.
type EditRequest struct {
	RequestID    string     `json:"request_id"`
	Op           string     `json:"op"`
	BaseRevision int64      `json:"base,omitempty"`
	Path         string     `json:"path,omitempty"`
	Rules        string     `json:"rules,omitempty"` // YAML mapping of rules
	Tree         string     `json:"tree,omitempty"`
	Revision     int64      `json:"revision,omitempty"`
	Reason       string     `json:"reason"`
	Expires      *time.Time `json:"expires,omitempty"`
}

// EditReply reports the accepted revision.
type EditReply struct {
	Revision int64    `json:"revision"`
	Changes  []Change `json:"changes,omitempty"`
	// Replaced and Kept are the rules of earlier overrides of the same path
	// that a set or drain replaced or left in place.
	Replaced []Override `json:"replaced,omitempty"`
	Kept     []Override `json:"kept,omitempty"`
}

// Change is one accepted edit or one line of a comparison.
type Change struct {
	Revision int64     `json:"revision,omitempty"`
	Author   string    `json:"author,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	At       time.Time `json:"at,omitzero"`
	Path     string    `json:"path,omitempty"`
	Key      string    `json:"key,omitempty"`
	Old      string    `json:"old,omitempty"`
	New      string    `json:"new,omitempty"`
	Paths    []string  `json:"paths,omitempty"`
}

// ValidateRequest carries a tree to check.
type ValidateRequest struct {
	Tree string `json:"tree"`
}

// ValidateReply lists the changes that a valid tree would make.
type ValidateReply struct {
	Revision int64    `json:"revision"`
	Changes  []Change `json:"changes"`
}

// StatusReply describes the system as one entry VM sees it.
type StatusReply struct {
	VM       string `json:"vm"`
	Revision int64  `json:"revision"`
	// SettingsAgeSeconds is the time since the platform confirmed the settings.
	SettingsAgeSeconds float64        `json:"settings_age_seconds"`
	RejectionReason    string         `json:"fault,omitempty"` // why a newer revision is not in force
	Unattributed       []Unattributed `json:"unattributed,omitempty"`
	Overrides          []Override     `json:"overrides"` // in force and expired
	Regions            []RegionStatus `json:"regions"`
	Links              []LinkStatus   `json:"links"`
	Targets            []TargetStatus `json:"targets"`
	Members            []MemberStatus `json:"members"`
}

// RegionStatus sums up a region.
type RegionStatus struct {
	Region    string         `json:"region"`
	Limit     int            `json:"limit,omitempty"`
	FreeSlots map[string]int `json:"free_slots"` // by service, over all members known
}

// LinkStatus describes this VM's share of a link.
type LinkStatus struct {
	From                string `json:"from"`
	To                  string `json:"to"`
	Cap                 string `json:"cap"`
	ShareBytesPerSecond int64  `json:"share_bytes_per_second"`
	AvailableBytes      int64  `json:"available_bytes"`
}

// TargetStatus describes a target that this VM owns.
type TargetStatus struct {
	Target   string `json:"target"`
	Owner    string `json:"owner"` // peer address of the VM
	Slots    int    `json:"slots"`
	Usable   int    `json:"usable"`
	InFlight int    `json:"in_flight"`
	State    string `json:"state"`
}

// MemberStatus describes one entry VM.
type MemberStatus struct {
	Address         string `json:"address"`
	OperatorAddress string `json:"operator_address"`
	Zone            string `json:"zone"`
	State           string `json:"state"`
	Ready           bool   `json:"ready"`
	Leaving         bool   `json:"leaving"`
	Revision        int64  `json:"revision"`
	Seats           int    `json:"seats,omitempty"`
}
