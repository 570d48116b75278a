package main

import (
	"os"
	"runtime/debug"
)

// Settings of the garbage collector. A host keeps little and allocates much,
// so that the heap may grow to several times what is in use between two
// collections.
const (
	// heapGrowth is by how much the heap may grow until the next collection,
	// as a percentage of what the last one left.
	heapGrowth = 400
	// memoryLimit is the soft limit of the process's memory, in bytes, from
	// which it collects earlier. It lies well above what the bounds of bodies,
	// answers and control state allow together.
	memoryLimit = 256 << 20
)

// The environment variables by which an operator sets the garbage collector.
const (
	heapGrowthVariable  = "GOGC"
	memoryLimitVariable = "GOMEMLIMIT"
)

// setCollector sets the garbage collector, except for what the environment
// sets.
func setCollector() {
	if os.Getenv(heapGrowthVariable) == "" {
		debug.SetGCPercent(heapGrowth)
	}
	if os.Getenv(memoryLimitVariable) == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
