// Package lru creates tables of limited size that drop the entry that was used
// least recently. A table that is emptied when it is full loses what it has
// learned about all entries at once.
package lru

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Table maps keys to values. It is not safe for concurrent use.
type Table[K comparable, V any] = simplelru.LRU[K, V]

// New returns a table of at most size entries, which must be above 0.
func New[K comparable, V any](size int) *Table[K, V] {
	table, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic("lru: size must be above 0")
	}
	return table
}
