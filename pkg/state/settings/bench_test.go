package settings

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// syntheticTree returns the text of a tree with the given number of targets,
// spread over 25 services in 5 regions with 18 zones.
func syntheticTree(targets int) []byte {
	const regions, zones, services = 5, 18, 25
	var b strings.Builder
	b.WriteString("regions:\n")
	for r := range regions {
		fmt.Fprintf(&b, "  r%d:\n    zones: [", r)
		for z := r; z < zones; z += regions {
			fmt.Fprintf(&b, "z%d, ", z)
		}
		b.WriteString("]\n    services:\n")
		for s := range services {
			fmt.Fprintf(&b, "      svc-%d:\n        targets:\n", s)
			for i := r*services + s; i < targets; i += regions * services {
				fmt.Fprintf(&b, "          t-%d: {address: \"10.%d.%d.%d:80\", zone: z%d, slots: 4}\n", i, i>>16, i>>8&255, i&255, r)
			}
		}
	}
	return []byte(b.String())
}

// BenchmarkParse measures the time to parse and validate a tree and the memory
// that the tree occupies, for several sizes, from which the cost of a target
// follows.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{500, 1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			text := syntheticTree(n)
			b.ReportAllocs()
			for b.Loop() {
				_, err := Parse(text)
				assert.NilError(b, err)
			}
			before := heapBytes()
			tree, err := Parse(text)
			assert.NilError(b, err)
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "kept-B/target")
			b.ReportMetric(float64(len(text))/float64(n), "text-B/target")
			runtime.KeepAlive(tree)
		})
	}
}

// BenchmarkParseSteps measures the steps of Parse for the largest tree.
func BenchmarkParseSteps(b *testing.B) {
	text := syntheticTree(8000)
	b.Run("syntax", func(b *testing.B) {
		for b.Loop() {
			_, err := parseSyntax(text)
			assert.NilError(b, err)
		}
	})
	tree, err := Parse(text)
	assert.NilError(b, err)
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			plain := *tree
			plain.index = nil
			_, err := plain.validated()
			assert.NilError(b, err)
		}
	})
	b.Run("effective", func(b *testing.B) {
		now := time.Unix(0, 0)
		for b.Loop() {
			_, err := tree.Effective(Path{Region: "r1", Service: "svc-1"}, now)
			assert.NilError(b, err)
		}
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
