package outcome

import (
	"context"
	"testing"

	"hickoryroute/pkg/protocol"
)

// BenchmarkExecute measures the time from the issue of a ticket to its recorded
// outcome.
func BenchmarkExecute(b *testing.B) {
	issuer, table := newTable(Config{MaxEntries: 1 << 40, MaxBytes: 1 << 40})
	run := func(context.Context) protocol.ExecuteReply { return answeredReply("held") }
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			table.Execute(context.Background(), issuer.Issue(service), service, fingerprintA, run)
		}
	})
}
