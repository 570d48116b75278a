// Command overload measures the goodput of one host for a service that receives
// more requests than its targets can process, and compares it with baselines in
// the same run. It sends requests through the real handler to stand-in targets.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The size of the service: Secante's checkout.
const (
	targets     = 6
	slots       = 4
	serviceTime = 100 * time.Millisecond
	deadline    = time.Second
)

// shortDeadline is the deadline in the scenarios with silent queues. It is
// shorter than a request takes when all declared slots are in use.
const shortDeadline = 350 * time.Millisecond

// scenario is one row of the table.
type scenario struct {
	name string
	// load is the arrival rate as a multiple of the capacity of the targets.
	load float64
	// floodShare is the share of the requests that come from floodAccount. The
	// remaining requests are spread over the nine other accounts.
	floodShare float64
	// unbounded makes the host send every request to a target at once.
	unbounded bool
	// sharedAccount sends every request with the key of floodAccount.
	sharedAccount bool
	// concurrency is how many requests a target processes at once, if that is
	// less than its declared slots. The target queues the others silently.
	concurrency int
	// deadline is the deadline of the requests; 0 means the default.
	deadline time.Duration
}

// slots returns how many requests a target processes at once.
func (s scenario) slots() int {
	if s.concurrency > 0 {
		return s.concurrency
	}
	return slots
}

// capacity returns how many requests per second the targets can process.
func (s scenario) capacity() float64 {
	return float64(targets*s.slots()) * float64(time.Second/serviceTime)
}

// requestDeadline returns the deadline of the requests.
func (s scenario) requestDeadline() time.Duration {
	if s.deadline > 0 {
		return s.deadline
	}
	return deadline
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
	{name: "limits, one account floods", load: 3, floodShare: 0.9},
	{name: "no shares, one account floods", load: 3, floodShare: 0.9, sharedAccount: true},
	{name: "silent queues", load: 1, concurrency: 1, deadline: shortDeadline},
	{name: "silent queues", load: 0.8, concurrency: 1, deadline: shortDeadline},
	{name: "silent queues", load: 3, concurrency: 1, deadline: shortDeadline},
	{name: "silent queues", load: 5, concurrency: 1, deadline: shortDeadline},
}

func main() {
	length := flag.Duration("length", 5*time.Second, "length of each row's measurement")
	hostname, _ := os.Hostname()
	only := flag.String("scenario", "", "run the scenarios of this name only")
	flag.Parse()
	fmt.Printf("overload: %d targets of %d slots, %s a request, capacity %.0f requests/s, deadline %s\n",
		targets, slots, serviceTime, scenario{}.capacity(), deadline)
	fmt.Printf("silent queues: targets work on 1 request at once, capacity %.0f requests/s, deadline %s\n",
		scenario{concurrency: 1}.capacity(), shortDeadline)
	fmt.Printf("%s, %s, %d CPUs, %s, %s a row\n\n", time.Now().Format(time.DateOnly), hostname, runtime.NumCPU(), runtime.Version(), *length)
	fmt.Printf("%-30s %5s %10s %9s %10s %9s %9s %9s\n",
		"scenario", "load", "goodput/s", "of 1x", "refused/s", "p50 ms", "p99 ms", "others ok")
	var base float64
	for _, s := range scenarios {
		if *only != "" && s.name != *only {
			continue
		}
		r := run(s, *length)
		if s.load == 1 && !s.unbounded {
			base = r.goodput()
		}
		fmt.Println(r.row(s, base))
	}
}

// result is the result of one scenario.
type result struct {
	length time.Duration
	// served holds the latencies, in microseconds, of the requests that were
	// completed within the deadline.
	served  *hdrhistogram.Histogram
	refused int64
	failed  int64
	// others counts the requests of all accounts except floodAccount. othersServed
	// counts those of them that were completed within the deadline.
	others       int64
	othersServed int64
}

// goodput returns the number of requests per second that were completed within
// the deadline.
func (r *result) goodput() float64 { return float64(r.served.TotalCount()) / r.length.Seconds() }

// row formats the result. base is the goodput at the capacity, or 0 if
// it was not measured.
func (r *result) row(s scenario, base float64) string {
	share, others := "-", "-"
	if base > 0 {
		share = fmt.Sprintf("%.0f%%", 100*r.goodput()/base)
	}
	if r.others > 0 {
		others = fmt.Sprintf("%.0f%%", 100*float64(r.othersServed)/float64(r.others))
	}
	return fmt.Sprintf("%-30s %4.1fx %10.0f %9s %10.0f %9.1f %9.1f %9s", s.name, s.load, r.goodput(), share,
		float64(r.refused)/r.length.Seconds(), millis(r.served.ValueAtQuantile(50)), millis(r.served.ValueAtQuantile(99)), others)
}

func millis(us int64) float64 { return float64(us) / 1000 }
