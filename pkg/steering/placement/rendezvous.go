package placement

import (
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// prefix is the state of a hash after the first of two names.
type prefix struct{ digest xxhash.Digest }

func newPrefix(name string) prefix {
	var p prefix
	p.digest.Reset()
	_, _ = p.digest.WriteString(name)
	_, _ = p.digest.WriteString("\x00")
	return p
}

// point maps the name of the prefix and another one to a number in (0,1).
func (p *prefix) point(name string) float64 {
	d := p.digest
	_, _ = d.WriteString(name)
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}

// point maps two names to a number in (0,1).
func point(a, b string) float64 {
	p := newPrefix(a)
	return p.point(b)
}

// ranked is a candidate with its weighted rendezvous score.
type ranked struct {
	index int
	score float64
}

// order holds the candidates of an object with the highest scores, in falling
// order. The candidate with the highest score owns the object, and each
// candidate owns objects in proportion to its weight.
type order struct {
	object prefix
	limit  int
	first  []ranked
}

// newOrder returns an order that keeps limit candidates.
func newOrder(object string, limit int) *order {
	return &order{object: newPrefix(object), limit: limit, first: make([]ranked, 0, min(limit, shortlist))}
}

// add takes a candidate, known by its index.
func (o *order) add(index int, name string, weight float64) {
	score := -weight / math.Log(o.object.point(name))
	n := len(o.first)
	if n == o.limit && (n == 0 || score <= o.first[n-1].score) {
		return
	}
	at := sort.Search(n, func(i int) bool { return o.first[i].score < score })
	o.first = slices.Insert(o.first, at, ranked{index, score})
	o.first = o.first[:min(n+1, o.limit)]
}

// TopRanked returns the n names with the highest rendezvous scores for an object.
func TopRanked(object string, names []string, n int) []string {
	o := newOrder(object, n)
	for i, name := range names {
		o.add(i, name, 1)
	}
	chosen := make([]string, 0, n)
	for _, r := range o.first {
		chosen = append(chosen, names[r.index])
	}
	return chosen
}
