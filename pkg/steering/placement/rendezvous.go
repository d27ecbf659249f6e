package placement

import (
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// hashPrefix is the state of a hash over two names after the first name.
type hashPrefix struct{ digest xxhash.Digest }

func newHashPrefix(name string) hashPrefix {
	var p hashPrefix
	p.digest.Reset()
	_, _ = p.digest.WriteString(name)
	_, _ = p.digest.WriteString("\x00")
	return p
}

// uniform hashes the name of the prefix and another one to a number in (0,1).
func (p *hashPrefix) uniform(name string) float64 {
	d := p.digest
	_, _ = d.WriteString(name)
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}

// uniformHash hashes two names to a number in (0,1).
func uniformHash(a, b string) float64 {
	p := newHashPrefix(a)
	return p.uniform(b)
}

// scored is a candidate with its weighted rendezvous score.
type scored struct {
	index int
	score float64
}

// ranking holds the candidates with the highest scores for an object, the
// highest first. Over many objects, each candidate is first in proportion to
// its weight.
type ranking struct {
	object hashPrefix
	limit  int
	top    []scored
}

// newRanking returns a ranking that keeps limit candidates.
func newRanking(object string, limit int) *ranking {
	return &ranking{object: newHashPrefix(object), limit: limit, top: make([]scored, 0, min(limit, initialCandidates))}
}

// add scores a candidate, which is identified by its index.
func (r *ranking) add(index int, name string, weight float64) {
	score := -weight / math.Log(r.object.uniform(name))
	n := len(r.top)
	if n == r.limit && (n == 0 || score <= r.top[n-1].score) {
		return
	}
	position := sort.Search(n, func(i int) bool { return r.top[i].score < score })
	r.top = slices.Insert(r.top, position, scored{index, score})
	r.top = r.top[:min(n+1, r.limit)]
}

// TopRanked returns the n names with the highest rendezvous scores for an
// object.
func TopRanked(object string, names []string, n int) []string {
	ranked := newRanking(object, n)
	for i, name := range names {
		ranked.add(i, name, 1)
	}
	top := make([]string, 0, n)
	for _, r := range ranked.top {
		top = append(top, names[r.index])
	}
	return top
}
