// Package operatorhttp implements the HTTP interface for operators. It shows and
// edits the tree of settings and returns the status, the time line and the
// metrics of an entry VM. Client is a client of this interface.
package operatorhttp

import (
	"context"
	"io"
	"time"

	"hickoryroute/pkg/state/timeline"
)

// Backend is the part of an entry VM that the operator interface uses.
type Backend interface {
	// Tree returns the settings in force.
	Tree() TreeReply
	// Explain returns each setting in force at path and the path that sets it.
	Explain(path string) (ExplainReply, error)
	// Edit applies one change; author is the authenticated operator.
	Edit(ctx context.Context, author string, edit EditRequest) (EditReply, error)
	// Validate checks a tree and compares it with the one in force.
	Validate(tree string) (ValidateReply, error)
	// History returns the last accepted changes, newest first.
	History(ctx context.Context) ([]Change, error)
	// RevisionText returns the tree of an earlier revision.
	RevisionText(ctx context.Context, revision int64) (string, error)
	// Status returns the regions, links, targets and members known to this VM.
	Status() StatusReply
	// Timeline returns the recent events recorded by this VM.
	Timeline() []timeline.Event
	// Ready reports whether the VM accepts new requests, and the reason if not.
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

// Unattributed is a value that was written to the store without using the
// operator interface.
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
	Expired      []Override     `json:"expired,omitempty"` // expired overrides, which have no effect
	Unattributed []Unattributed `json:"unattributed,omitempty"`
}

// Setting is one rule in force and the path of the tree that sets it.
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
	OpApply       = "apply"   // replace the whole tree by Tree; BaseRevision is required if there is a tree
	OpRollForward = "roll"    // make the tree of Revision the newest revision
)

// EditRequest is one change of the tree. RequestID makes it safe to resend the
// request. BaseRevision is the revision that the change is based on; 0 means the
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
	// Replaced and Kept are the rules of an earlier override of the same path
	// that a set or drain replaced or kept.
	Replaced []Override `json:"replaced,omitempty"`
	Kept     []Override `json:"kept,omitempty"`
}

// Change is one accepted edit or one difference between two trees.
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

// StatusReply is the status of the system as known to one entry VM.
type StatusReply struct {
	VM       string `json:"vm"`
	Revision int64  `json:"revision"`
	// SettingsAgeSeconds is the time since the platform last confirmed the
	// settings.
	SettingsAgeSeconds float64        `json:"settings_age_seconds"`
	RejectionReason    string         `json:"fault,omitempty"` // why a newer revision is not in force
	Unattributed       []Unattributed `json:"unattributed,omitempty"`
	Overrides          []Override     `json:"overrides"` // in force and expired
	Regions            []RegionStatus `json:"regions"`
	Links              []LinkStatus   `json:"links"`
	Targets            []TargetStatus `json:"targets"`
	Members            []MemberStatus `json:"members"`
}

// RegionStatus summarizes a region.
type RegionStatus struct {
	Region    string         `json:"region"`
	Limit     int            `json:"limit,omitempty"`
	FreeSlots map[string]int `json:"free_slots"` // by service, summed over all known members
}

// LinkStatus describes this VM's share of the byte rate limit of a link.
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
