// Command overload measures the goodput of one host before the targets of a
// service that is asked for more than it can do, beside baselines, in one run.
// It sends requests through the real handler to stand-in targets.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sizes of the service: Secante's checkout.
const (
	targets     = 6
	slots       = 4
	serviceTime = 100 * time.Millisecond
	deadline    = time.Second
	// capacity is in requests a second.
	capacity = targets * slots * float64(time.Second/serviceTime)
)

// scenario is one row of the table.
type scenario struct {
	name string
	// load is the arrival rate as a multiple of the capacity.
	load float64
	// flood is the share of the arrivals that comes from one account; the
	// others are spread over nine.
	flood float64
	// unbounded sends every request straight to a target.
	unbounded bool
	// shared puts every request under one account.
	shared bool
}

var scenarios = []scenario{
	{name: "limits", load: 0.9},
	{name: "limits", load: 1},
	{name: "limits", load: 2},
	{name: "limits", load: 3},
	{name: "limits", load: 5},
	{name: "no bounds", load: 0.9, unbounded: true},
	{name: "no bounds", load: 1, unbounded: true},
	{name: "no bounds", load: 3, unbounded: true},
	{name: "limits, one account floods", load: 3, flood: 0.9},
	{name: "no shares, one account floods", load: 3, flood: 0.9, shared: true},
}

func main() {
	length := flag.Duration("length", 5*time.Second, "length of each row's measurement")
	flag.Parse()
	hostname, _ := os.Hostname()
	fmt.Printf("overload: %d targets of %d slots, %s a request, capacity %.0f requests/s, deadline %s\n",
		targets, slots, serviceTime, capacity, deadline)
	fmt.Printf("%s, %s, %d CPUs, %s, %s a row\n\n", time.Now().Format(time.DateOnly), hostname, runtime.NumCPU(), runtime.Version(), *length)
	fmt.Printf("%-30s %5s %10s %9s %10s %9s %9s %9s\n",
		"scenario", "load", "goodput/s", "of 1x", "refused/s", "p50 ms", "p99 ms", "others ok")
	var base float64
	for _, s := range scenarios {
		r := run(s, *length)
		if s.load == 1 && !s.unbounded {
			base = r.goodput()
		}
		fmt.Println(r.row(s, base))
	}
}

// result is what one scenario measured.
type result struct {
	length    time.Duration
	served    *hdrhistogram.Histogram
	refused   int64
	failed    int64
	others    int64
	othersRun int64
}

// goodput is the number of answers within the deadline, a second.
func (r *result) goodput() float64 { return float64(r.served.TotalCount()) / r.length.Seconds() }

func (r *result) row(s scenario, base float64) string {
	share, others := "-", "-"
	if base > 0 {
		share = fmt.Sprintf("%.0f%%", 100*r.goodput()/base)
	}
	if r.others > 0 {
		others = fmt.Sprintf("%.0f%%", 100*float64(r.othersRun)/float64(r.others))
	}
	return fmt.Sprintf("%-30s %4.1fx %10.0f %9s %10.0f %9.1f %9.1f %9s", s.name, s.load, r.goodput(), share,
		float64(r.refused)/r.length.Seconds(), millis(r.served.ValueAtQuantile(50)), millis(r.served.ValueAtQuantile(99)), others)
}

func millis(us int64) float64 { return float64(us) / 1000 }
