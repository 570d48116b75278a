package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocushinge/crocushinge/contract"
)

// Durations of one run.
const (
	// warmUpTime lets a detector learn the usual latencies and failure rates
	// before the fault begins.
	warmUpTime = 30 * time.Second
	// detectionTimeout is how long after its begin a fault counts as missed.
	detectionTimeout = 30 * time.Second
	// healthyRunTime is the length of one run without a fault.
	healthyRunTime = time.Hour
)

// method is a detector to measure, with its name in the table.
type method struct {
	name        string
	newDetector func(deployment) detector
	baseline    bool
}

var methods = []method{
	{name: "crocushinge", newDetector: func(d deployment) detector { return newServiceDetector(d) }},
	{name: "5 consecutive", newDetector: func(d deployment) detector { return newConsecutiveDetector(d) }, baseline: true},
	{name: "rate < mean-1.9s", newDetector: func(d deployment) detector { return newSuccessRateDetector(d) }, baseline: true},
}

// grayKind is a kind of gray failure.
type grayKind struct {
	name    string
	respond func(rng *rand.Rand, since time.Duration) response
	// link limits the fault to the link from one host.
	link bool
}

var grayKinds = []grayKind{
	{name: "fails all", respond: failsAll},
	{name: "fails 30%", respond: failsSome},
	{name: "10x slower", respond: tenTimesSlower},
	{name: "hangs", respond: hangs},
	{name: "flaps", respond: flaps},
	{name: "one-way link", respond: hangs, link: true},
}

// healthyKind is a behavior of healthy targets that provokes false ejections.
type healthyKind struct {
	name     string
	behavior func(seed uint64) behavior
}

var healthyKinds = []healthyKind{
	{"heavy tail", func(seed uint64) behavior { return heavyTail{newOffsets(seed, pauseEvery)} }},
	{"service-wide slowdown", func(uint64) behavior { return slowdown{} }},
	{"load shedding", func(seed uint64) behavior { return shedding{newOffsets(seed, shedEvery)} }},
	{"cold start", func(seed uint64) behavior { return coldStart{newOffsets(seed, replaceEvery)} }},
	{"misleading health", func(seed uint64) behavior { return misleadingHealth{newOffsets(seed, misleadEvery)} }},
}

// result is the result of one run.
type result struct {
	// detectionTime is the time from the begin of the fault until no host sends
	// requests over a faulty link; 0 if the fault was missed.
	detectionTime time.Duration
	// falseEjections counts ejections of healthy targets.
	falseEjections int
	// linkCuts counts the links to healthy targets that hosts cut. Baselines
	// cut no links.
	linkCuts int
}

// measurement holds the results of one detector in one row.
type measurement struct {
	method  method
	results []result
	// targetHours is the virtual time of all runs times the number of targets.
	targetHours float64
}

// row is one line of the table.
type row struct {
	d            deployment
	gray         *grayKind
	healthy      *healthyKind
	measurements []measurement
}

func (r *row) kind() string {
	if r.gray != nil {
		return r.gray.name
	}
	return r.healthy.name
}

// measureAll measures every row that the options select, and reports each on
// standard error as soon as it is done.
func measureAll(o options) []row {
	var rows []row
	for _, d := range deployments {
		for i := range grayKinds {
			rows = append(rows, row{d: d, gray: &grayKinds[i]})
		}
		for i := range healthyKinds {
			rows = append(rows, row{d: d, healthy: &healthyKinds[i]})
		}
	}
	var out []row
	for _, r := range rows {
		if o.selects(r) {
			r.measure(o)
			out = append(out, r)
			fmt.Fprintf(os.Stderr, "%s, %s: %s\n", r.d.name, r.kind(), cell(r, r.measurements[0]))
		}
	}
	return out
}

// measure measures all detectors of a row, with several runs in parallel. Each
// run has its own seed, so the result does not depend on the order of the runs.
func (r *row) measure(o options) {
	var group errgroup.Group
	group.SetLimit(o.workers)
	for _, m := range o.methods() {
		results := make([]result, r.runs(o, m))
		for i := range results {
			group.Go(func() error {
				results[i] = r.run(m, o.seed+uint64(i))
				return nil
			})
		}
		r.measurements = append(r.measurements, measurement{
			method:      m,
			results:     results,
			targetHours: float64(len(results)*r.d.targets) * healthyRunTime.Hours(),
		})
	}
	_ = group.Wait()
}

// baselineDivisor reduces the number of runs of a baseline, whose figures need
// less resolution.
const baselineDivisor = 10

// runs returns how many runs of a detector a row needs.
func (r *row) runs(o options, m method) int {
	trials, hours := o.trials, o.hours
	if r.d.weight == contract.WeightSafety {
		hours = o.safetyHours
	}
	if m.baseline {
		trials /= baselineDivisor
		hours /= baselineDivisor
	}
	if r.gray != nil {
		return max(1, trials)
	}
	return max(1, (hours+r.d.targets-1)/r.d.targets)
}

func (r *row) run(m method, seed uint64) result {
	if r.gray != nil {
		return runFault(r.d, *r.gray, m, seed)
	}
	det := m.newDetector(r.d)
	g := newGenerator(r.d, seed, r.healthy.behavior(seed), det)
	g.run(healthyRunTime, nil)
	return result{falseEjections: sum(det.ejections()), linkCuts: linkCutsOf(det)}
}

func linkCutsOf(det detector) int {
	if o, ok := det.(*serviceDetector); ok {
		return o.linkCuts
	}
	return 0
}

// runFault measures how long a faulty target or link goes on receiving requests.
func runFault(d deployment, k grayKind, m method, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := &fault{
		target:         rng.IntN(d.targets),
		begin:          warmUpTime + time.Duration(rng.Int64N(int64(time.Second))),
		onlyHost:       -1,
		faultyResponse: k.respond,
	}
	det := m.newDetector(d)
	g := newGenerator(d, seed, f, det)
	hosts := g.slotHosts[f.target]
	if k.link {
		f.onlyHost = hosts[rng.IntN(len(hosts))]
		hosts = []int{f.onlyHost}
	}
	var out result
	g.run(f.begin+detectionTimeout, func(now time.Duration) bool {
		if now < f.begin || anySendsTo(det, hosts, f.target) {
			return false
		}
		out.detectionTime = now - f.begin
		return true
	})
	out.falseEjections = sum(det.ejections())
	if !k.link {
		out.falseEjections -= det.ejections()[f.target]
	}
	return out
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func anySendsTo(det detector, hosts []int, target int) bool {
	for _, h := range hosts {
		if det.sendsTo(h, target) {
			return true
		}
	}
	return false
}
