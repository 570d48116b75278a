package main

import (
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Settings that no code under test makes.
const (
	otherGrowth = 150
	otherLimit  = 1 << 40
)

// collector sets the collector from an environment and returns its settings.
func collector(t *testing.T, growth, limit string) (percent int, bytes int64) {
	t.Setenv(heapGrowthVariable, growth)
	t.Setenv(memoryLimitVariable, limit)
	oldGrowth, oldLimit := debug.SetGCPercent(otherGrowth), debug.SetMemoryLimit(otherLimit)
	setCollector()
	return debug.SetGCPercent(oldGrowth), debug.SetMemoryLimit(oldLimit)
}

func TestCollectorKeepsWhatTheEnvironmentSets(t *testing.T) {
	is := is.New(t)
	percent, bytes := collector(t, "", "")
	is.Equal(percent, heapGrowth)
	is.Equal(bytes, int64(memoryLimit))
	percent, bytes = collector(t, "150", "")
	is.Equal(percent, otherGrowth)
	is.Equal(bytes, int64(memoryLimit))
	percent, bytes = collector(t, "", "1TiB")
	is.Equal(percent, heapGrowth)
	is.Equal(bytes, int64(otherLimit))
}

func TestDaemonSetsTheCollector(t *testing.T) {
	is := is.New(t)
	at := addresses(t, 3)
	start(t, "one", at, "")
	waitFor(t, at[1], 1)
	resp, err := http.Get("http://" + at[1] + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(metric(t, string(page), "crocushinge_runtime_heap_growth_percent"), float64(heapGrowth))
	is.Equal(metric(t, string(page), "crocushinge_runtime_memory_limit_bytes"), float64(memoryLimit))
	is.True(metric(t, string(page), "crocushinge_runtime_allocations_total") > 0)
}

// metric returns the value of a metric on a page in the Prometheus format.
func metric(t *testing.T, page, name string) float64 {
	t.Helper()
	for line := range strings.Lines(page) {
		if !strings.HasPrefix(line, name+"{") {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(line[strings.LastIndexByte(line, ' '):]), 64)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	t.Fatal(name, "is missing")
	return 0
}
