package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/crocushinge/crocushinge/target"
)

// printTable writes the table. A detection time is measured from the begin of
// the fault until no host sends requests over a faulty link, with the
// resolution of one tick.
func printTable(w io.Writer, o options, rows []row) {
	fmt.Fprintf(w, "seed %d; %d requests/s to each target over its entry set; %d faults a row; %s\n",
		o.seed, requestRate, o.trials, baselineNote(o))
	fmt.Fprintln(w, "detection: p50 p99 missed (wrong ejections in these runs)")
	fmt.Fprintln(w, "healthy: false ejections per 10,000 target-hours [ejections / target-hours, links cut]")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "service\tweight\tkind\tWald\t"+methodNames(o))
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s", r.d.name, r.d.weight, r.kind(), waldBound(r))
		for _, m := range r.measurements {
			fmt.Fprintf(tw, "\t%s", cell(r, m))
		}
		fmt.Fprintln(tw)
	}
	_ = tw.Flush()
	printTotals(w, rows)
}

// total sums the false ejections of a service over all measured healthy kinds.
type total struct {
	d              deployment
	falseEjections int
	targetHours    float64
	kinds          int
}

func totalOf(d deployment, rows []row) total {
	t := total{d: d}
	for _, r := range rows {
		if r.d.name == d.name && r.healthy != nil {
			t.falseEjections += summarize(r.measurements[0].results).falseEjections
			t.targetHours += r.measurements[0].targetHours
			t.kinds++
		}
	}
	return t
}

// rate returns the false ejections per 10,000 target-hours.
func (t total) rate() float64 { return float64(t.falseEjections) / t.targetHours * 10000 }

// upperBound returns the upper confidence bound of the rate, per 10,000
// target-hours.
func (t total) upperBound() float64 { return poissonBound(t.falseEjections) / t.targetHours * 10000 }

// printTotals prints the false ejections of each service over all healthy kinds.
func printTotals(w io.Writer, rows []row) {
	for _, d := range deployments {
		if t := totalOf(d, rows); t.targetHours > 0 {
			fmt.Fprintf(w, "%s: %d false ejections in %.0f target-hours over %d healthy kinds; at most %.2f in 10,000 at %.0f%% confidence (exact Poisson)\n",
				d.name, t.falseEjections, t.targetHours, t.kinds, t.upperBound(), 100*confidence)
		}
	}
}

func baselineNote(o options) string {
	if !o.baselines {
		return "baselines left out"
	}
	return fmt.Sprintf("baselines with 1/%d of the faults and target-hours", baselineDivisor)
}

func methodNames(o options) string {
	var names []string
	for _, m := range o.methods() {
		names = append(names, m.name)
	}
	return strings.Join(names, "\t")
}

// cell formats the results of one detector in one row.
func cell(r row, m measurement) string {
	if r.gray != nil {
		s := summarize(m.results)
		return fmt.Sprintf("%s %s %d (%d)", s.p50, s.p99, s.missed, s.falseEjections)
	}
	s := summarize(m.results)
	rate := float64(s.falseEjections) / m.targetHours * 10000
	return fmt.Sprintf("%.2f [%d / %.0f, %d]", rate, s.falseEjections, m.targetHours, s.linkCuts)
}

// summary aggregates the results of a measurement. Missed faults count with
// detectionTimeout in the quantiles.
type summary struct {
	p50, p99                         time.Duration
	missed, falseEjections, linkCuts int
}

func summarize(results []result) summary {
	var s summary
	var times []time.Duration
	for _, r := range results {
		s.falseEjections += r.falseEjections
		s.linkCuts += r.linkCuts
		if r.detectionTime == 0 {
			s.missed++
			r.detectionTime = detectionTimeout
		}
		times = append(times, r.detectionTime)
	}
	slices.Sort(times)
	s.p50 = quantile(times, 0.5).Round(time.Millisecond)
	s.p99 = quantile(times, 0.99).Round(time.Millisecond)
	return s
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// waldBound returns the least mean detection time of a sequential test with the
// contract's error rate (Wald's bound), or "-" if the failure rate of the fault
// is not known.
func waldBound(r row) string {
	if r.gray == nil {
		return "-"
	}
	var failures float64
	switch r.gray.name {
	case "fails all":
		failures = 1
	case "fails 30%":
		failures = 0.3
	default:
		return "-"
	}
	requests := target.WaldBound(target.ThresholdsFor(r.d.weight)[target.Failing], failures)
	return fmt.Sprintf("%.0fms", requests/requestRate*1000)
}
