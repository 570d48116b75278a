package daemon

import (
	"math"
	runtimemetrics "runtime/metrics"
)

// runtimeCounters returns the counters of the Go runtime.
func runtimeCounters() []instrument {
	return []instrument{
		{"crocushinge.runtime.allocations", "Objects allocated in memory.", runtimeMetric("/gc/heap/allocs:objects")},
		{"crocushinge.runtime.collections", "Runs of the garbage collector.", runtimeMetric("/gc/cycles/total:gc-cycles")},
	}
}

// runtimeGauges returns the gauges of the Go runtime.
func runtimeGauges() []instrument {
	return []instrument{
		{"crocushinge.runtime.memory_bytes", "Bytes of memory of the Go runtime.", runtimeMetric("/memory/classes/total:bytes")},
		{"crocushinge.runtime.memory_limit_bytes", "Soft limit of the memory, in bytes.", runtimeMetric("/gc/gomemlimit:bytes")},
		{"crocushinge.runtime.heap_growth_percent", "Growth of the heap until the next collection, in percent.", runtimeMetric("/gc/gogc:percent")},
	}
}

// runtimeMetric returns a function that reads a metric of the Go runtime. It returns
// 0 for a metric that isn't an unsigned integer.
func runtimeMetric(name string) func() int64 {
	return func() int64 {
		sample := []runtimemetrics.Sample{{Name: name}}
		runtimemetrics.Read(sample)
		if sample[0].Value.Kind() != runtimemetrics.KindUint64 {
			return 0
		}
		return int64(min(sample[0].Value.Uint64(), math.MaxInt64))
	}
}
