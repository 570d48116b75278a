package caller_test

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/caller"
)

// BenchmarkLedger begins and ends requests on all processors in parallel.
func BenchmarkLedger(b *testing.B) {
	l := caller.NewLedger(caller.LedgerLimits{Records: 1 << 40})
	var worker atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		prefix := fmt.Sprint("w", worker.Add(1), "-")
		for n := 0; pb.Next(); n++ {
			r, _ := l.Begin(0, "shop", testID(prefix+fmt.Sprint(n), time.Minute), order)
			r.End(caller.Outcome{Result: caller.Completed, Status: 201})
		}
	})
}

// BenchmarkLedgerMemory reports the memory per record of a ledger filled to the
// limits of one host.
func BenchmarkLedgerMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		limits := caller.DefaultLedgerLimits()
		l := caller.NewLedger(limits)
		for n := range limits.Records {
			r, _ := l.Begin(0, "shop", testID(fmt.Sprint("n", n), time.Minute), order)
			r.End(caller.Outcome{Result: caller.Completed, Status: 201})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(limits.Records), "B/record")
		runtime.KeepAlive(l)
	}
}

// BenchmarkLedgerRemoveExpired measures RemoveExpired on a full ledger without
// expired records.
func BenchmarkLedgerRemoveExpired(b *testing.B) {
	limits := caller.DefaultLedgerLimits()
	l := caller.NewLedger(limits)
	for n := range limits.Records {
		l.Begin(0, "shop", testID(fmt.Sprint("n", n), time.Minute), order)
	}
	for b.Loop() {
		l.RemoveExpired(0)
	}
}
