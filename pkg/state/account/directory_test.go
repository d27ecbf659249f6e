package account

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func newTestDirectory(t testing.TB) *Directory {
	t.Helper()
	d, err := NewDirectory([]Entry{
		{Account: Account{Name: "school", HasPriority: true, Priority: 1}, Keys: []string{"key-1", "key-2"}},
		{Account: Account{Name: "depot", HomeRegions: []string{"hcm"}}, Keys: []string{"key-3"}},
	})
	assert.NilError(t, err)
	return d
}

// Guards against a request that runs in the name of another account.
func TestFindReturnsTheOwnerOfAKey(t *testing.T) {
	d := newTestDirectory(t)
	assert.Equal(t, d.Find("key-2").Name, "school")
	assert.Equal(t, d.Find("key-3").Name, "depot")
	for _, unknown := range []string{"", "key-", "key-11", strings.Repeat("key-1", 200)} {
		assert.Assert(t, d.Find(unknown) == nil, "key %q", unknown)
	}
}

// Guards against a configuration under which two accounts answer for one key, and
// against an error that prints the key.
func TestSharedKeyIsRefusedWithTheNamesOfBothAccounts(t *testing.T) {
	_, err := NewDirectory([]Entry{
		{Account: Account{Name: "school"}, Keys: []string{"secret-key"}},
		{Account: Account{Name: "depot"}, Keys: []string{"secret-key"}},
	})
	var shared *SharedKeyError
	assert.Assert(t, errors.As(err, &shared))
	assert.Equal(t, shared.First+" "+shared.Second, "school depot")
	assert.Assert(t, !strings.Contains(err.Error(), "secret-key"))
}

func TestAccountReplacesPriorityAndBindsHomes(t *testing.T) {
	d := newTestDirectory(t)
	var none *Account
	assert.Equal(t, d.Find("key-1").PriorityOr(3), 1)
	assert.Equal(t, d.Find("key-3").PriorityOr(3), 3)
	assert.Equal(t, none.PriorityOr(2), 2)
	assert.Assert(t, none.MayRunIn("hanoi"))
	assert.Assert(t, !d.Find("key-3").MayRunIn("hanoi"))
}

func BenchmarkFind(b *testing.B) {
	d := newTestDirectory(b)
	b.ReportAllocs()
	for b.Loop() {
		if d.Find("key-3") == nil {
			b.Fatal("the key is not known")
		}
	}
}
