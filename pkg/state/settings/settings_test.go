package settings

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1") // a fixed seed makes every run check the same cases
	os.Exit(m.Run())
}

// base is a valid tree with two regions that serve the same service.
const base = `
rules: {deadline: 8s, weight: 10}
services:
  cluebook: {rules: {weight: 20, hedge_percent: 0}}
links:
  - {from: sask, to: manitoba, capacity: 4Gbit/s, cap: 400Mbit/s}
client_blocks:
  - {prefix: 10.0.0.0/8, regions: [manitoba, sask]}
regions:
  sask:
    zones: [sask-a, sask-b]
    rules: {weight: 30, max_in_flight: 40}
    services:
      cluebook:
        rules: {weight: 40}
        targets:
          c1: {address: 127.0.0.1:9001, zone: sask-a, slots: 3, rules: {weight: 50}}
          c2: {address: 127.0.0.1:9002, zone: sask-b, slots: 4}
  manitoba:
    zones: [manitoba-a]
    services:
      cluebook:
        targets:
          c3: {address: 127.0.0.1:9003, zone: manitoba-a, slots: 4}
`

var (
	setAt   = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	expires = setAt.Add(time.Hour)
)

func ptr[T any](v T) *T { return &v }

func mustParse(t *testing.T, text string) *Tree {
	t.Helper()
	tree, err := Parse([]byte(text))
	assert.NilError(t, err)
	return tree
}

func mustPath(t *testing.T, text string) Path {
	t.Helper()
	p, err := ParsePath(text)
	assert.NilError(t, err)
	return p
}

// withOverrides appends overrides, each written "path rules", to base.
func withOverrides(lines ...string) string {
	text := base + "overrides:\n"
	for _, line := range lines {
		path, rules, _ := strings.Cut(line, " ")
		text += fmt.Sprintf("  - {path: '%s', rules: {%s}, author: an, reason: test, set_at: %s, expires: %s}\n",
			path, rules, setAt.Format(time.RFC3339), expires.Format(time.RFC3339))
	}
	return text
}

// Guards against rules that come from the wrong node, expired overrides that
// stay in force and drains that a descendant turns off.
func TestEffective(t *testing.T) {
	weight := func(e Effective) any { return e.Weight }
	drain := func(e Effective) any { return e.Drain }
	tests := []struct {
		name, path string
		overrides  []string
		after      time.Duration // since setAt
		get        func(Effective) any
		want       any
	}{
		{"root", "/", nil, 0, weight, 10},
		{"service in all regions", "*/cluebook", nil, 0, weight, 20},
		{"region", "sask", nil, 0, weight, 30},
		{"region over service in all regions", "sask/cluebook", nil, 0, weight, 40},
		{"service in all regions over root", "manitoba/cluebook", nil, 0, weight, 20},
		{"target", "sask/cluebook/c1", nil, 0, weight, 50},
		{"inherited by target", "sask/cluebook/c2", nil, 0, weight, 40},
		{"default", "sask", nil, 0, func(e Effective) any { return e.QueueLimit }, 2},
		{"zero is a value", "sask/cluebook", nil, 0, func(e Effective) any { return e.HedgePercent }, 0},
		{"duration", "sask", nil, 0, func(e Effective) any { return e.Deadline }, 8 * time.Second},
		{"override wins at its path", "sask", []string{"sask weight: 1"}, 0, weight, 1},
		{"nearer rule wins over override above", "sask/cluebook", []string{"sask weight: 1"}, 0, weight, 40},
		{"override just before expiry", "sask", []string{"sask weight: 1"}, time.Hour - 1, weight, 1},
		{"override at expiry", "sask", []string{"sask weight: 1"}, time.Hour, weight, 30},
		{"override of a service", "manitoba/cluebook/c3", []string{"*/cluebook weight: 7"}, 0, weight, 7},
		{"drain above", "sask/cluebook/c1", []string{"sask drain: true", "sask/cluebook/c1 drain: false"}, 0, drain, true},
		{"drain beside", "sask/cluebook/c2", []string{"sask/cluebook/c1 drain: true"}, 0, drain, false},
		{"drain expires", "sask/cluebook/c1", []string{"sask drain: true"}, time.Hour, drain, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tree := mustParse(t, base)
			if tc.overrides != nil {
				tree = mustParse(t, withOverrides(tc.overrides...))
			}
			e, err := tree.Effective(mustPath(t, tc.path), setAt.Add(tc.after))
			assert.NilError(t, err)
			assert.Equal(t, tc.get(e), tc.want)
		})
	}
}

// Guards against an override that cannot turn off the drain rule at its own
// path.
func TestOverrideReplacesDrainOfItsPath(t *testing.T) {
	tree, err := mustParse(t, base).SetDrain(Path{Region: "sask"}, true)
	assert.NilError(t, err)
	tree, err = tree.SetOverride(Override{
		Path: "sask", Rules: Rules{Drain: ptr(false)}, Author: "an", Reason: "needed", SetAt: setAt,
	})
	assert.NilError(t, err)
	e, err := tree.Effective(Path{"sask", "cluebook", "c1"}, setAt)
	assert.NilError(t, err)
	assert.Equal(t, e.Drain, false)
}

// Guards against unknown paths for which rules are reported as in force.
func TestUnknownPathIsAnError(t *testing.T) {
	tree := mustParse(t, base)
	for _, p := range []Path{{Region: "x"}, {"sask", "x", ""}, {"sask", "cluebook", "x"}, {Region: "*", Service: "x"}, {Service: "cluebook"}} {
		_, err := tree.Effective(p, setAt)
		assert.ErrorContains(t, err, "no such path")
	}
	for _, text := range []string{"", "//", "a/b/c/d", "A", "*", "*/a/b", "a//b"} {
		_, err := ParsePath(text)
		assert.ErrorContains(t, err, "path is not valid", text)
	}
}

// Guards against an explanation that shows the wrong origin of a rule in force,
// or not the author of an override.
func TestExplain(t *testing.T) {
	tree := mustParse(t, withOverrides("manitoba drain: true", "*/cluebook retry_percent: 3"))
	list, err := tree.Explain(Path{"manitoba", "cluebook", "c3"}, setAt)
	assert.NilError(t, err)
	got := map[string]Setting{}
	for _, s := range list {
		got[s.Key] = s
	}
	assert.Equal(t, len(got), len(ruleFields))
	assert.Equal(t, got["weight"], Setting{Key: "weight", Value: "20", From: "*/cluebook"})
	assert.Equal(t, got["queue_limit"], Setting{Key: "queue_limit", Value: "2", From: "default", Default: true})
	assert.Equal(t, got["drain"], Setting{
		Key: "drain", Value: "true", From: "manitoba", Override: true,
		Author: "an", Reason: "test", SetAt: setAt, Expires: expires,
	})
	list, err = tree.Explain(Path{"manitoba", "cluebook", "c3"}, expires)
	assert.NilError(t, err)
	assert.Equal(t, list[0], Setting{Key: "drain", Value: "false", From: "default", Default: true})
}

// Guards against invalid settings that reach the VMs. Each case makes one
// replacement in base; the wanted text is part of the message or the remedy.
func TestValidate(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{"cap: 400Mbit/s", "cap: 5Gbit/s", "cap 5Gbit/s is above capacity 4Gbit/s"},
		{"cap: 400Mbit/s", "cap: 0bit/s", "not above zero"},
		{"from: sask", "from: alberta", `region "alberta" does not exist`},
		{"to: manitoba", "to: sask", "from a region to itself"},
		{"regions: [manitoba, sask]", "regions: [alberta]", `region "alberta" does not exist`},
		{"regions: [manitoba, sask]", "regions: [sask, sask]", "listed twice"},
		{"10.0.0.0/8", "10.0.0.1/8", "write 10.0.0.0/8"},
		{"10.0.0.0/8", "10.0.0.0", "is not valid"},
		{"zone: sask-b", "zone: manitoba-a", `zone "manitoba-a" does not belong to region "sask"`},
		{"zones: [manitoba-a]", "zones: [manitoba-a, sask-a]", "already listed by region"},
		{"127.0.0.1:9002", "127.0.0.1:9001", "already used by"},
		{"127.0.0.1:9002", "localhost:9002", "write an IP address and a port"},
		{"127.0.0.1:9002", "127.0.0.1:0", "write an IP address and a port"},
		{"slots: 3", "slots: 0", "set slots between 1 and 1000"},
		{"slots: 3", "slots: 1001", "set slots between 1 and 1000"},
		{"c2:", "C2:", `target name "C2" is not valid`},
		{"weight: 30", "weight: 1001", "outside 0 to 1000"},
		{"hedge_percent: 0", "hedge_percent: 101", "outside 0 to 100"},
		{"deadline: 8s", "deadline: 31s", "outside 1ms to 30s"},
		{"deadline: 8s", "lookup_ttl: 0s", "outside 100ms"},
		{"deadline: 8s", "idempotent_methods: [get]", "methods in capitals"},
		{"deadline: 8s", "long_paths: [a]", "start with /"},
		{"deadline: 8s", "drain: true", "no region that serves it"},
		{"weight: 20", "drain: true", "no region that serves it"},
		{"{weight: 10, ", "{", ""},
		{"services:\n  cluebook:", "services:\n  clubook:", "*/clubook: service has no region"},
	}
	for _, tc := range tests {
		_, err := Parse([]byte(strings.Replace(base, tc.old, tc.new, 1)))
		if tc.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Check(t, cmp.ErrorContains(err, tc.want), "%s -> %s", tc.old, tc.new)
	}
	overrides := []struct{ old, new, want string }{
		{"path: 'sask'", "path: alberta", "unknown path"},
		{"path: 'sask'", "path: sask/cluebook/c9", "unknown path"},
		{"author: an", "author: ''", "no valid author"},
		{"reason: test", "reason: ' '", "no valid reason"},
		{"{weight: 1}", "{}", "sets no rule"},
		{"{weight: 1}", "{weight: -1}", "outside 0 to 1000"},
		{"expires: 2026", "expires: 2025", "expires before it is set"},
	}
	for _, tc := range overrides {
		text := strings.Replace(withOverrides("sask weight: 1"), tc.old, tc.new, 1)
		_, err := Parse([]byte(text))
		assert.Check(t, cmp.ErrorContains(err, tc.want), "%s -> %s", tc.old, tc.new)
	}
	_, err := Parse([]byte(withOverrides("sask weight: 1", "sask weight: 2")))
	assert.ErrorContains(t, err, "two overrides set weight")
}

// Guards against a validation that stops at the first error.
func TestValidateReportsAllErrors(t *testing.T) {
	text := strings.NewReplacer("slots: 3", "slots: 0", "cap: 400Mbit/s", "cap: 5Gbit/s", "c2:", "C2:").Replace(base)
	_, err := Parse([]byte(text))
	var list ErrorList
	assert.Assert(t, errors.As(err, &list))
	assert.Equal(t, len(list), 3, err.Error())
}

// Guards against texts that are parsed in an unintended way instead of being
// rejected with their position.
func TestParseReportsPositionOfErrors(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{"weight: 10}", "wieght: 10}", `line 2, column 23: unknown field "wieght"`},
		{"  manitoba:\n", "  sask:\n", `line 19, column 3: mapping key "sask" already defined`},
		{"slots: 3", "slots: 3.5", `line 17, column 62: slots: "3.5" is not a whole number`},
		{"deadline: 8s", "deadline: 8", "line 2, column 19: deadline"},
		{"cap: 400Mbit/s", "cap: 400", "line 6, column 56: cap"},
		{"weight: 10", "weight: ", "line 2, column 30: value is missing"},
		{"zones: [manitoba-a]", "zones: &z [manitoba-a]", "line 20, column 12: tree uses a YAML anchor"},
		{"regions:\n", "---\nregions:\n", "more than one document"},
		{"weight: 10", "weight: " + strings.Repeat("[", 100), "nested too deeply"},
		{"weight: 10", "weight: " + strings.Repeat(" ", maxLineBytes), "line 2, column 4096"},
	}
	for _, tc := range tests {
		_, err := Parse([]byte(strings.Replace(base, tc.old, tc.new, 1)))
		assert.Check(t, cmp.ErrorContains(err, tc.want), "%.40s", tc.new)
	}
	_, err := Parse([]byte(strings.Replace(withOverrides("sask weight: 1"), "expires: 2026-01-02T", "expires: tomorrow ", 1)))
	assert.ErrorContains(t, err, "needs the form 2026-01-02T15:04:05Z")
	_, err = Parse([]byte(base + strings.Repeat("#\n", MaxTreeBytes/2)))
	assert.ErrorContains(t, err, "more than 1048576")
}

// Guards against comments in the linked list of tokens, with which the decoder
// took 30 s for 512 KiB.
func TestWithoutCommentsRemovesComments(t *testing.T) {
	tokens := withoutComments(lexer.Tokenize("# a\na: 1 # b\n# c\nb: 2\n"))
	assert.Equal(t, len(tokens), 6)
	for next := tokens[0]; next != nil; next = next.Next {
		assert.Assert(t, next.Type != token.CommentType)
	}
}

// Guards against edits that leave a service without a region once an override
// expires. The result of Parse must not depend on the clock, because the clocks
// of VMs differ.
func TestValidateAtLooksPastExpiries(t *testing.T) {
	text := strings.Replace(withOverrides("*/cluebook drain: false"), "weight: 20", "drain: true", 1)
	tree := mustParse(t, text)
	assert.ErrorContains(t, tree.ValidateAt(setAt), "no region that serves it")
	tree = mustParse(t, withOverrides("/ drain: true"))
	assert.ErrorContains(t, tree.ValidateAt(setAt), "no region that serves it")
	assert.NilError(t, tree.ValidateAt(expires))
}

// Guards against edits that modify the tree in force or lose settings of other
// operators.
func TestEditsDoNotChangeTheOldTree(t *testing.T) {
	old := mustParse(t, withOverrides("sask weight: 1, queue_limit: 9"))
	*old.Clone().Overrides[0].Rules.Weight = 77
	assert.Equal(t, *old.Overrides[0].Rules.Weight, 1)
	before, err := Marshal(old)
	assert.NilError(t, err)
	next, err := old.SetOverride(Override{Path: "/sask/", Rules: Rules{Weight: ptr(2)}, Author: "b", Reason: "r", SetAt: setAt})
	assert.NilError(t, err)
	drained, err := next.SetDrain(Path{"sask", "cluebook", "c1"}, true)
	assert.NilError(t, err)
	after, err := Marshal(old)
	assert.NilError(t, err)
	assert.Equal(t, string(before), string(after))
	e, err := drained.Effective(Path{"sask", "cluebook", "c1"}, setAt)
	assert.NilError(t, err)
	assert.Equal(t, e.QueueLimit, 9)
	assert.Equal(t, e.Drain, true)
	assert.DeepEqual(t, ChangedPaths(Diff(old, drained)), []string{"sask", "sask/cluebook/c1"})
	removed, err := next.RemoveOverride(Path{Region: "sask"})
	assert.NilError(t, err)
	assert.Equal(t, len(removed.Overrides), 0)
	_, err = removed.RemoveOverride(Path{Region: "sask"})
	assert.ErrorContains(t, err, "no override at this path")
	_, err = old.SetDrain(Path{}, true)
	assert.ErrorContains(t, err, "no region that serves it")
}

// Guards against targets that VMs list in different orders, so that the VMs would
// not agree on the owners of the targets.
func TestTargetsAreSorted(t *testing.T) {
	var names []string
	for _, target := range mustParse(t, base).Targets() {
		names = append(names, fmt.Sprint(target.Name, " ", target.Address, " ", target.Zone, " ", target.Slots))
	}
	assert.DeepEqual(t, names, []string{
		"manitoba/cluebook/c3 127.0.0.1:9003 manitoba-a 4",
		"sask/cluebook/c1 127.0.0.1:9001 sask-a 3",
		"sask/cluebook/c2 127.0.0.1:9002 sask-b 4",
	})
}

// Guards against settings that change when a tree is written and parsed again,
// and against precomputed rules that differ from directly computed ones.
func TestRoundTripAndIndexAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, err := Parse([]byte(base))
		assert.NilError(t, err)
		paths := tree.allPaths()
		for range rapid.IntRange(0, 6).Draw(t, "overrides") {
			o := Override{
				Path:   rapid.SampledFrom(paths).Draw(t, "path").String(),
				Author: rapid.StringMatching(`[!-~]{1,8}`).Draw(t, "author"),
				Reason: rapid.StringMatching(`[!-~][ -~é]{0,20}`).Draw(t, "reason"),
				SetAt:  setAt, Expires: setAt.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "minutes")) * time.Minute),
			}
			if rapid.Bool().Draw(t, "weight") {
				o.Rules.Weight = ptr(rapid.IntRange(1, 1000).Draw(t, "value"))
			} else {
				o.Rules.LongPaths = &[]string{"/" + rapid.StringMatching(`[!-~]{0,6}`).Draw(t, "prefix")}
			}
			next, err := tree.SetOverride(o)
			assert.NilError(t, err)
			tree = next
		}
		text, err := Marshal(tree)
		assert.NilError(t, err)
		again, err := Parse(text)
		assert.NilError(t, err, string(text))
		assert.DeepEqual(t, Diff(tree, again), []Change(nil))
		stable, err := Marshal(again)
		assert.NilError(t, err)
		assert.Equal(t, string(text), string(stable))
		now := setAt.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "now")) * time.Minute)
		for _, p := range paths {
			fast, err := again.Effective(p, now)
			assert.NilError(t, err)
			assert.DeepEqual(t, fast, again.resolveRules(p.inheritanceChain(), again.overridesByPath(), now))
		}
	})
}

// Guards against changes that Diff does not show.
func TestDiff(t *testing.T) {
	old := mustParse(t, base)
	text := strings.NewReplacer("cap: 400Mbit/s", "cap: 1Gbit/s", "slots: 3", "slots: 5", "[sask-a, sask-b]", "[sask-a, sask-b, sask-c]",
		"[manitoba, sask]", "[sask]", "weight: 30, ", "").Replace(base)
	assert.DeepEqual(t, Diff(old, mustParse(t, text)), []Change{
		{Path: "client_blocks/10.0.0.0/8", Key: "regions", Old: "manitoba,sask", New: "sask"},
		{Path: "links/sask-manitoba", Key: "cap", Old: "400Mbit/s", New: "1Gbit/s"},
		{Path: "sask", Key: "weight", Old: "30"},
		{Path: "sask", Key: "zones", Old: "sask-a,sask-b", New: "sask-a,sask-b,sask-c"},
		{Path: "sask/cluebook/c1", Key: "slots", Old: "3", New: "5"},
	})
	assert.Equal(t, len(Diff(old, old)), 0)
}
