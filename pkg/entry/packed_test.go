package entry

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/transport/packed"
	"hickoryroute/pkg/transport/platform"
)

// Guards against settings that change in the transfer between VMs, and against a
// small message that decompresses to more than the largest document.
func TestPackedDocument(t *testing.T) {
	var document packed.Cache
	for _, text := range []string{"regions: {}", largeTree(100), largeTree(200)} {
		sent := document.Get([]byte(text))
		got, err := packed.Decompress(sent)
		assert.NilError(t, err)
		assert.Equal(t, string(got), text)
	}
	_, err := packed.Decompress(packed.Compress(bytes.Repeat([]byte("x"), platform.MaxValueBytes+1)))
	assert.ErrorContains(t, err, "exceed")
	_, err = packed.Decompress(packed.Compress([]byte(largeTree(100)))[:100])
	assert.ErrorContains(t, err, "decompress the document of a peer")
}

// BenchmarkPack reports the compressed size of settings and the time to compress
// and decompress them.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{500, 1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			text := []byte(largeTree(n))
			sent := packed.Compress(text)
			before := cpuTime(b)
			for b.Loop() {
				_, err := packed.Decompress(packed.Compress(text))
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(text)), "plain-B")
			b.ReportMetric(float64(len(sent)), "packed-B")
		})
	}
}
