package main

import (
	"os"
	"runtime/debug"
)

// Settings of the garbage collector. A host has little live data and allocates
// much, so the heap may grow to several times the live data between two
// collections.
const (
	// heapGrowthPercent is by how much the heap may grow before the next
	// collection, as a percentage of the live heap after the last one.
	heapGrowthPercent = 400
	// memoryLimitBytes is the soft limit of the process's memory. Near it the
	// collector runs more often. It is well above the sum of the limits of
	// bodies, responses and control state.
	memoryLimitBytes = 256 << 20
)

// Environment variables with which an operator configures the garbage collector.
const (
	gcPercentVariable   = "GOGC"
	memoryLimitVariable = "GOMEMLIMIT"
)

// configureGC applies the settings of the garbage collector, except those that
// the environment sets.
func configureGC() {
	if os.Getenv(gcPercentVariable) == "" {
		debug.SetGCPercent(heapGrowthPercent)
	}
	if os.Getenv(memoryLimitVariable) == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}
