package seat

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// newLargeTable returns a table with several seats for each holder, as in a
// large region.
func newLargeTable(seats int) Table {
	t := newTable("sask", seats)
	holders := max(1, seats*140/512)
	for i := range t.Seats {
		t.Seats[i].Holder = Holder{Address: fmt.Sprintf("10.0.%d.%d:7201", i%holders/250, i%holders%250), Incarnation: 1_800_000_000_000_000_000 + uint64(i%holders)}
	}
	return t
}

// BenchmarkTable reports the size of a stored table and the time to decode it,
// which give the cost of 512 seats in 5 regions.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{24, 64, 128, 256, 512} {
		b.Run(fmt.Sprintf("seats=%d", n), func(b *testing.B) {
			value := newLargeTable(n).encode()
			b.ReportAllocs()
			for b.Loop() {
				_, err := decodeTable(tablePrefix+"sask", value, 1)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(value)), "table-B")
		})
	}
}

// BenchmarkSeatOf reports the time to find the seat of a target.
func BenchmarkSeatOf(b *testing.B) {
	for _, n := range []int{24, 128, 512} {
		b.Run(fmt.Sprintf("seats=%d", n), func(b *testing.B) {
			for b.Loop() {
				SeatOf("sask/cluebook/cb-12", n)
			}
		})
	}
}

// BenchmarkMembers reports the size of the member records and the time to
// decode them, which each VM does in each round.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400, 700} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var values [][]byte
			size := 0
			for i := range n {
				values = append(values, Member{Address: fmt.Sprintf("10.0.%d.%d:7201", i/250, i%250), Incarnation: 1_800_000_000_000_000_000, Region: "sask", Zone: "sask-a"}.encode())
				size += len(values[i])
			}
			for b.Loop() {
				for _, v := range values {
					var record Member
					assert.NilError(b, json.Unmarshal(v, &record))
				}
			}
			b.ReportMetric(float64(size), "records-B")
		})
	}
}
