package main

import (
	"fmt"
	"math"
	"os"
	"text/tabwriter"
)

// quantity is one line of the table.
type quantity struct {
	name  string
	unit  string
	value func(result) float64
	// limit is the users' limit at expectedHosts; 0 means no limit.
	limit float64
	// growth is how the quantity grows with the number of hosts.
	growth growth
}

// growth determines how a quantity is extrapolated to expectedHosts.
type growth int

const (
	// linear quantities are fitted by a line in the number of hosts.
	linear growth = iota
	// logarithmic quantities are fitted by a line in the binary logarithm of the
	// number of hosts, because the number of gossip rounds grows with it.
	logarithmic
	// bounded quantities do not grow beyond the value of the largest fleet,
	// because their period grows with the number of hosts.
	bounded
)

const (
	kilobyte = 1e3
	megabyte = 1e6
	percent  = 100
)

var quantities = []quantity{
	{name: "spread p50", unit: "ms", value: func(r result) float64 { return milliseconds(r.spread.ValueAtQuantile(50)) }, growth: logarithmic},
	{name: "spread p99", unit: "ms", value: func(r result) float64 { return milliseconds(r.spread.ValueAtQuantile(99)) }, limit: 7000, growth: logarithmic},
	{name: "spread max", unit: "ms", value: func(r result) float64 { return milliseconds(r.spread.Max()) }, limit: 7000, growth: logarithmic},
	{name: "directory p50", unit: "ms", value: func(r result) float64 { return milliseconds(r.directory.ValueAtQuantile(50)) }},
	{name: "directory p99", unit: "ms", value: func(r result) float64 { return milliseconds(r.directory.ValueAtQuantile(99)) }},
	{name: "sent to hosts", unit: "KB/s", value: func(r result) float64 { return r.control / kilobyte }, limit: 8},
	{name: "probes, both ways", unit: "KB/s", value: func(r result) float64 { return r.probes / kilobyte }},
	{name: "processor", unit: "% of a core", value: func(r result) float64 { return r.processor * percent }, limit: 2.3},
	{name: "memory", unit: "MB", value: func(r result) float64 { return r.memory / megabyte }, limit: 128},
	{name: "table reads, all hosts", unit: "1/s", value: func(r result) float64 { return r.reads }, limit: 200, growth: bounded},
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1e3 }

// variable returns the x value of the fit for a number of hosts.
func (g growth) variable(hosts int) float64 {
	if g == logarithmic {
		return math.Log2(float64(hosts))
	}
	return float64(hosts)
}

// fit returns the slope of the least-squares line through the results, and its
// value at expectedHosts.
func fit(results []result, q quantity) (slope, expected float64) {
	var n, sx, sy, sxx, sxy float64
	for _, r := range results {
		x, y := q.growth.variable(r.hosts), q.value(r)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy-slope*sx)/n + slope*q.growth.variable(expectedHosts)
}

// print writes the table of results with the extrapolated values.
func print(results []result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "one host\tunit\t")
	for _, r := range results {
		fmt.Fprintf(w, "%d hosts\t", r.hosts)
	}
	fmt.Fprintf(w, "slope\tin\tat %d\tlimit\t\n", expectedHosts)
	for _, q := range quantities {
		fmt.Fprintf(w, "%s\t%s\t", q.name, q.unit)
		for _, r := range results {
			fmt.Fprintf(w, "%.3g\t", q.value(r))
		}
		slope, expected := fit(results, q)
		switch q.growth {
		case linear:
			fmt.Fprintf(w, "%.3g\thosts\t%.3g\t", slope, expected)
		case logarithmic:
			fmt.Fprintf(w, "%.3g\tlog2 hosts\t%.3g\t", slope, expected)
		case bounded:
			fmt.Fprintf(w, "-\tbounded\t%.3g\t", q.value(results[len(results)-1]))
		}
		fmt.Fprintf(w, "%s\t\n", limitText(q.limit))
	}
	_ = w.Flush()
	fmt.Println("\nspread: from acceptance to in force, over all hosts and changes; directory: over loopback,\n" +
		"one question at a time; bytes without the headers of TCP and IP; processor with the host's part\n" +
		"of targets and harness, memory without the program itself; at 890: the least-squares line through\n" +
		"the four sizes, in the number of hosts or its logarithm.")
}

func limitText(limit float64) string {
	if limit == 0 {
		return "-"
	}
	return fmt.Sprint(limit)
}
