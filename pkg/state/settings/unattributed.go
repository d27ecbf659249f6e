package settings

import "slices"

// keyWholeTree is the key of an Unattributed that stands for the whole tree.
const keyWholeTree = "tree"

// Unattributed is a setting in force that no recorded change has set.
type Unattributed struct {
	Path     string `json:"path"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"` // revision at which the value was first seen
}

// BypassReason returns why d cannot have been written by the operator tool, or
// "" if it can. previous is the revision of the previous tree, 0 if there
// is none.
func (d *Document) BypassReason(previous int64) string {
	switch {
	case d.Plain:
		return "no envelope"
	case d.Digest() != d.TreeSHA256:
		return "tree digest differs from the envelope"
	case d.Author == "" || d.RequestID == "":
		return "no author or request id"
	case previous != 0 && !d.historyMayContain(previous):
		return "revision chain is broken"
	}
	return ""
}

// Digest returns the digest of d.Tree, which may differ from d.TreeSHA256.
func (d *Document) Digest() string { return Digest([]byte(d.Tree)) }

// historyMayContain reports whether the history of d contains a revision, or
// may have contained it before its oldest entries were removed.
func (d *Document) historyMayContain(revision int64) bool {
	if d.BaseRevision == revision {
		return true
	}
	oldest := d.BaseRevision
	for _, s := range d.History {
		if s.Revision == revision {
			return true
		}
		if s.Revision != 0 {
			oldest = min(oldest, s.Revision)
		}
	}
	return revision < oldest
}

// FindUnattributed returns the settings of tree, stored in d at revision, that
// no recorded change has set. If d was written by the operator tool, d lists
// them. If d bypassed the tool, they are those of carried that are still in
// force and those that differ from previous, or the whole tree if previous is
// nil.
func FindUnattributed(d *Document, revision int64, bypassed bool, previous, tree *Tree, carried []Unattributed) []Unattributed {
	if !bypassed {
		return d.Unattributed
	}
	if previous == nil {
		return []Unattributed{{Path: Path{}.String(), Key: keyWholeTree, Value: d.Digest(), Revision: revision}}
	}
	list := FilterInForce(carried, tree)
	for _, c := range Diff(previous, tree) {
		list = slices.DeleteFunc(list, func(u Unattributed) bool { return u.Path == c.Path && u.Key == c.Key })
		list = append(list, Unattributed{Path: c.Path, Key: c.Key, Value: c.New, Revision: revision})
	}
	return list
}

// FilterInForce returns the entries of list that have the same value in tree. An
// entry for the whole tree is kept until an operator adopts it.
func FilterInForce(list []Unattributed, tree *Tree) []Unattributed {
	flat := flatten(tree)
	var kept []Unattributed
	for _, u := range list {
		if u.Key == keyWholeTree || flat[FlatKey{u.Path, u.Key}] == u.Value {
			kept = append(kept, u)
		}
	}
	return kept
}
