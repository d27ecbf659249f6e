package outcome

import (
	"context"
	"testing"

	"hickoryroute/pkg/protocol"
)

// BenchmarkExecute measures a new ticket from issue to its recorded outcome.
func BenchmarkExecute(b *testing.B) {
	issuer, table := newTable(Config{MaxEntries: 1 << 40, MaxBytes: 1 << 40})
	run := func(context.Context) protocol.ExecuteReply { return answered("held") }
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			table.Execute(context.Background(), issuer.Issue(service), service, printA, run)
		}
	})
}
