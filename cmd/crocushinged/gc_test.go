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

// Settings that are in place before the code under test runs. They differ from
// the program's own.
const (
	presetGrowthPercent = 150
	presetLimitBytes    = 1 << 40
)

// configuredGC calls configureGC with these environment variables and returns
// the settings that result.
func configuredGC(t *testing.T, gcPercent, memoryLimit string) (percent int, bytes int64) {
	t.Setenv(gcPercentVariable, gcPercent)
	t.Setenv(memoryLimitVariable, memoryLimit)
	oldGrowth, oldLimit := debug.SetGCPercent(presetGrowthPercent), debug.SetMemoryLimit(presetLimitBytes)
	configureGC()
	return debug.SetGCPercent(oldGrowth), debug.SetMemoryLimit(oldLimit)
}

func TestGCSettingsFromTheEnvironmentAreKept(t *testing.T) {
	is := is.New(t)
	percent, bytes := configuredGC(t, "", "")
	is.Equal(percent, heapGrowthPercent)
	is.Equal(bytes, int64(memoryLimitBytes))
	percent, bytes = configuredGC(t, "150", "")
	is.Equal(percent, presetGrowthPercent)
	is.Equal(bytes, int64(memoryLimitBytes))
	percent, bytes = configuredGC(t, "", "1TiB")
	is.Equal(percent, heapGrowthPercent)
	is.Equal(bytes, int64(presetLimitBytes))
}

func TestDaemonConfiguresGC(t *testing.T) {
	is := is.New(t)
	addresses := freeAddresses(t, 3)
	startDaemon(t, "one", addresses, "")
	waitForHosts(t, addresses[1], 1)
	resp, err := http.Get("http://" + addresses[1] + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(metric(t, string(page), "crocushinge_runtime_heap_growth_percent"), float64(heapGrowthPercent))
	is.Equal(metric(t, string(page), "crocushinge_runtime_memory_limit_bytes"), float64(memoryLimitBytes))
	is.True(metric(t, string(page), "crocushinge_runtime_allocations_total") > 0)
}

// metric returns the value of a metric in a page of the Prometheus text format.
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
