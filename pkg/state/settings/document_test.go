package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/transport/platform"
)

// storedDocument returns a document of text, encoded and decoded again, that is
// based on the revision base and has the given earlier history.
func storedDocument(t *testing.T, text string, base int64, earlier []ChangeSummary) *Document {
	t.Helper()
	d := NewDocument([]byte(text), "an", "reason", "id-"+strings.Repeat("x", int(base)), setAt, base, []string{"sask"})
	d.PrependHistory(earlier)
	raw, err := EncodeDocument(d)
	assert.NilError(t, err)
	d, err = DecodeDocument(raw)
	assert.NilError(t, err)
	return d
}

// Guards against writes that bypass the operator tool without being detected,
// and against regular writes that are reported as a bypass.
func TestBypassReason(t *testing.T) {
	first := storedDocument(t, base, 0, nil)
	second := storedDocument(t, base, 3, first.History) // first is revision 3
	third := storedDocument(t, base, 5, second.History) // second is revision 5
	edited := *third
	edited.Tree = strings.Replace(base, "slots: 3", "slots: 5", 1)
	anonymous := *third
	anonymous.Author = ""
	plain, err := DecodeDocument([]byte(base))
	assert.NilError(t, err)
	tests := []struct {
		name     string
		d        *Document
		previous int64
		want     string
	}{
		{"first", first, 0, ""},
		{"next", third, 5, ""},
		{"one revision missed", third, 3, ""},
		{"no previous tree", third, 0, ""},
		{"revision between was written around the tool", third, 4, "revision chain is broken"},
		{"old document restored", second, 7, "revision chain is broken"},
		{"tree edited", &edited, 5, "tree digest differs from the envelope"},
		{"no author", &anonymous, 5, "no author or request id"},
		{"plain YAML", plain, 5, "no envelope"},
	}
	for _, tc := range tests {
		assert.Equal(t, tc.d.BypassReason(tc.previous), tc.want, tc.name)
	}
}

// Guards against unattributed settings that are not reported, or that are still
// reported after an attributed change has replaced them.
func TestFindUnattributed(t *testing.T) {
	old := mustParse(t, base)
	tree := mustParse(t, strings.NewReplacer("slots: 3", "slots: 5", "weight: 30", "weight: 31").Replace(base))
	d := &Document{Plain: true}
	list := FindUnattributed(d, 8, true, old, tree, nil)
	want := []Unattributed{
		{Path: "sask", Key: "weight", Value: "31", Revision: 8},
		{Path: "sask/cluebook/c1", Key: "slots", Value: "5", Revision: 8},
	}
	assert.DeepEqual(t, list, want)
	whole := FindUnattributed(d, 8, true, nil, tree, nil)
	assert.DeepEqual(t, whole, []Unattributed{{Path: "/", Key: "tree", Value: d.Digest(), Revision: 8}})
	assert.DeepEqual(t, FilterInForce(whole, old), whole)
	later := mustParse(t, strings.NewReplacer("slots: 3", "slots: 6", "weight: 30", "weight: 31").Replace(base))
	assert.DeepEqual(t, FilterInForce(list, later), want[:1])
	assert.DeepEqual(t, FindUnattributed(d, 9, true, tree, later, list), []Unattributed{
		want[0], {Path: "sask/cluebook/c1", Key: "slots", Value: "6", Revision: 9},
	})
}

// Guards against histories that exceed the value limit of the store or lose the
// newest changes.
func TestDocumentHistoryIsBounded(t *testing.T) {
	var history []ChangeSummary
	for revision := range int64(80) {
		d := storedDocument(t, base, revision, history)
		history = d.History
	}
	assert.Equal(t, len(history), maxHistory)
	assert.Equal(t, history[maxHistory-2].Revision, int64(79))
	d := storedDocument(t, strings.Repeat("\n", 520_000), 80, nil) // twice as long in JSON
	for range 10 {
		d.History = append([]ChangeSummary{{Reason: strings.Repeat("x", 10_000)}}, d.History...)
	}
	raw, err := EncodeDocument(d)
	assert.NilError(t, err)
	assert.Assert(t, len(raw) <= platform.MaxValueBytes)
	again, err := DecodeDocument(raw)
	assert.NilError(t, err)
	assert.Equal(t, again.History[len(again.History)-1].RequestID, d.RequestID)
	d.Tree = strings.Repeat("\n", platform.MaxValueBytes)
	_, err = EncodeDocument(d)
	assert.ErrorContains(t, err, "more than 1048576")
}

// Guards against texts that crash the parser, and against accepted trees that
// change when they are written and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(withOverrides("sask weight: 1", "'*/cluebook' drain: true")))
	for _, text := range []string{"", "null", "[]", "regions: {a: {zones: [b]}}", "{a: &x [*x]}", "- - - -", "<<: {}", "? a", "\xff", "a: |\n b", "---\n...\n---"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := Parse(text)
		if err != nil {
			return
		}
		written, err := Marshal(tree)
		assert.NilError(t, err)
		again, err := Parse(written)
		assert.NilError(t, err, string(written))
		assert.DeepEqual(t, Diff(tree, again), []Change(nil))
	})
}

// Guards against values of the store that crash the decoder, and against
// documents that change when they are encoded and decoded again.
func FuzzDecodeDocument(f *testing.F) {
	raw, err := EncodeDocument(NewDocument([]byte(base), "an", "reason", "id", setAt, 3, []string{"/"}))
	assert.NilError(f, err)
	f.Add(raw)
	for _, text := range []string{base, "", "{}", "null", `{"tree":1}`, `{"tree":"a","history":[{}]}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := DecodeDocument(raw)
		assert.NilError(t, err)
		d.BypassReason(1)
		d.PrependHistory(d.History)
		d.ChangesSince(1)
		if d.Plain {
			assert.Equal(t, d.Tree, string(raw))
			return
		}
		written, err := EncodeDocument(d)
		assert.NilError(t, err)
		again, err := DecodeDocument(written)
		assert.NilError(t, err)
		assert.Equal(t, again.Tree, d.Tree)
		assert.Equal(t, again.BypassReason(0), d.BypassReason(0))
	})
}
