package settings

import "slices"

// keyWholeTree stands for all settings in an Unattributed whose origin is not
// known in detail.
const keyWholeTree = "tree"

// Unattributed is a setting in force that no recorded change made.
type Unattributed struct {
	Path     string `json:"path"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"` // revision at which it was first seen
}

// BypassReason tells why a document was not written by the operator tool; it is
// empty if it was. known is the revision of the tree known before, 0 if none.
func (d *Document) BypassReason(known int64) string {
	switch {
	case d.Plain:
		return "no envelope"
	case d.Digest() != d.TreeSHA256:
		return "tree digest differs from the envelope"
	case d.Author == "" || d.RequestID == "":
		return "no author or request id"
	case known != 0 && !d.follows(known):
		return "revision chain is broken"
	}
	return ""
}

// Digest returns the digest of the tree as it is.
func (d *Document) Digest() string { return Digest([]byte(d.Tree)) }

// follows tells whether the history of d contains the revision known. A
// history that has dropped its oldest entries passes if they may have
// contained it.
func (d *Document) follows(known int64) bool {
	if d.BaseRevision == known {
		return true
	}
	oldest := d.BaseRevision
	for _, s := range d.History {
		if s.Revision == known {
			return true
		}
		if s.Revision != 0 {
			oldest = min(oldest, s.Revision)
		}
	}
	return known < oldest
}

// FindUnattributed returns the settings of tree, stored in d at revision, that
// no recorded change made: those that d carries and, if d was written around
// the operator tool, those that differ from the tree known before. A VM that
// knows no tree before it reports the whole tree.
func FindUnattributed(d *Document, revision int64, bypassed bool, known, tree *Tree, carried []Unattributed) []Unattributed {
	if !bypassed {
		return d.Unattributed
	}
	if known == nil {
		return []Unattributed{{Path: Path{}.String(), Key: keyWholeTree, Value: d.Digest(), Revision: revision}}
	}
	list := FilterInForce(carried, tree)
	for _, c := range Diff(known, tree) {
		list = slices.DeleteFunc(list, func(u Unattributed) bool { return u.Path == c.Path && u.Key == c.Key })
		list = append(list, Unattributed{Path: c.Path, Key: c.Key, Value: c.New, Revision: revision})
	}
	return list
}

// FilterInForce returns the entries of list whose value is that of tree. An
// entry for the whole tree stays until somebody adopts it.
func FilterInForce(list []Unattributed, tree *Tree) []Unattributed {
	flat := flatten(tree)
	var kept []Unattributed
	for _, u := range list {
		if u.Key == keyWholeTree || flat[settingKey{u.Path, u.Key}] == u.Value {
			kept = append(kept, u)
		}
	}
	return kept
}
