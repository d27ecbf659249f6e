package account

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// secret is mixed into the digests of keys, so that nobody can choose keys that
// collide, and a digest tells nothing outside this process.
var secret = newSecret()

func newSecret() (s [sha256.Size]byte) {
	_, _ = rand.Read(s[:]) // never fails
	return s
}

// maxKeyBytes is the length of the longest key that is looked up without an
// allocation. Keys of operators are far shorter.
const maxKeyBytes = 256

// digest stands for a key, so that a directory holds no keys.
type digest [sha256.Size]byte

func digestOf(key string) digest {
	var buffer [sha256.Size + maxKeyBytes]byte
	text := append(append(buffer[:0], secret[:]...), key...)
	return sha256.Sum256(text)
}

// Entry is an account with the keys that it owns.
type Entry struct {
	Account
	Keys []string
}

// Directory finds the account of a key. It is immutable, and it holds digests in
// place of the keys.
type Directory struct {
	byDigest map[digest]*Account
	byName   map[string]*Account
}

// SharedKeyError means that two accounts own the same key. It names no key.
type SharedKeyError struct{ First, Second string }

// Error names both accounts and the remedy.
func (e *SharedKeyError) Error() string {
	return fmt.Sprintf("accounts %q and %q own the same key; give each account keys of its own", e.First, e.Second)
}

// NewDirectory returns the directory of the accounts of one configuration.
func NewDirectory(entries []Entry) (*Directory, error) {
	d := &Directory{byDigest: map[digest]*Account{}, byName: map[string]*Account{}}
	for i := range entries {
		owner := &entries[i].Account
		if d.byName[owner.Name] != nil {
			return nil, fmt.Errorf("account %q is listed twice; merge both entries", owner.Name)
		}
		d.byName[owner.Name] = owner
		for _, key := range entries[i].Keys {
			k := digestOf(key)
			if first := d.byDigest[k]; first != nil && first != owner {
				return nil, &SharedKeyError{First: first.Name, Second: owner.Name}
			}
			d.byDigest[k] = owner
		}
	}
	return d, nil
}

// Find returns the account that owns a key, or nil.
func (d *Directory) Find(key string) *Account { return d.byDigest[digestOf(key)] }

// ByName returns the account of a name, or nil.
func (d *Directory) ByName(name string) *Account { return d.byName[name] }

// All returns the accounts, ordered by name. A nil directory has none.
func (d *Directory) All() []*Account {
	if d == nil {
		return nil
	}
	list := slices.Collect(maps.Values(d.byName))
	slices.SortFunc(list, func(a, b *Account) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Keys returns the number of keys of an account, and a mark that differs for other
// keys. The mark tells nothing of the keys and holds within this process only.
func (d *Directory) Keys(a *Account) (count int, mark string) {
	var sum digest
	for key, owner := range d.byDigest {
		if owner != a {
			continue
		}
		count++
		for i := range sum {
			sum[i] ^= key[i]
		}
	}
	return count, fmt.Sprintf("%x", sum[:4])
}
