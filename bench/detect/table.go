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

// printTable writes one table. Detection times count from the fault to the end
// of new work on every host, in steps of the tick.
func printTable(w io.Writer, o options, rows []row) {
	fmt.Fprintf(w, "seed %d; %d requests/s to each target over its entry set; %d faults a row; %s\n",
		o.seed, requestRate, o.trials, baselineNote(o))
	fmt.Fprintln(w, "detection: p50 p99 missed (wrong ejections in these runs)")
	fmt.Fprintln(w, "healthy: false ejections per 10,000 target-hours [ejections / target-hours, links cut]")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "service\tweight\tkind\tWald\t"+methodNames(o))
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s", r.d.name, r.d.weight, r.kind(), wald(r))
		for _, m := range r.measurements {
			fmt.Fprintf(tw, "\t%s", cell(r, m))
		}
		fmt.Fprintln(tw)
	}
	_ = tw.Flush()
	printTotals(w, rows)
}

// total is the false ejections of a service over all healthy kinds measured.
type total struct {
	d     deployment
	wrong int
	hours float64
	kinds int
}

func totalOf(d deployment, rows []row) total {
	t := total{d: d}
	for _, r := range rows {
		if r.d.name == d.name && r.healthy != nil {
			t.wrong += summarize(r.measurements[0].results).wrong
			t.hours += r.measurements[0].targetHours
			t.kinds++
		}
	}
	return t
}

// rate returns the false ejections in 10,000 target-hours.
func (t total) rate() float64 { return float64(t.wrong) / t.hours * 10000 }

// upper returns the upper bound of the rate, in 10,000 target-hours.
func (t total) upper() float64 { return poissonBound(t.wrong) / t.hours * 10000 }

// printTotals sums the false ejections of each service over all kinds.
func printTotals(w io.Writer, rows []row) {
	for _, d := range deployments {
		if t := totalOf(d, rows); t.hours > 0 {
			fmt.Fprintf(w, "%s: %d false ejections in %.0f target-hours over %d healthy kinds; at most %.2f in 10,000 at %.0f%% confidence (exact Poisson)\n",
				d.name, t.wrong, t.hours, t.kinds, t.upper(), 100*confidence)
		}
	}
}

func baselineNote(o options) string {
	if !o.baselines {
		return "baselines left out"
	}
	return fmt.Sprintf("baselines with 1/%d of the faults and target-hours", baselineShare)
}

func methodNames(o options) string {
	var names []string
	for _, m := range o.methods() {
		names = append(names, m.name)
	}
	return strings.Join(names, "\t")
}

func cell(r row, m measurement) string {
	if r.gray != nil {
		s := summarize(m.results)
		return fmt.Sprintf("%s %s %d (%d)", s.p50, s.p99, s.missed, s.wrong)
	}
	s := summarize(m.results)
	rate := float64(s.wrong) / m.targetHours * 10000
	return fmt.Sprintf("%.2f [%d / %.0f, %d]", rate, s.wrong, m.targetHours, s.cuts)
}

// summary condenses the results of a measurement.
type summary struct {
	p50, p99            time.Duration
	missed, wrong, cuts int
}

func summarize(results []result) summary {
	var s summary
	var times []time.Duration
	for _, r := range results {
		s.wrong += r.wrong
		s.cuts += r.cuts
		if r.detected == 0 {
			s.missed++
			r.detected = patience
		}
		times = append(times, r.detected)
	}
	slices.Sort(times)
	s.p50 = quantile(times, 0.5).Round(time.Millisecond)
	s.p99 = quantile(times, 0.99).Round(time.Millisecond)
	return s
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// wald returns the mean time that Wald's test with the contract's error rate
// needs at least, where the failure rates of the fault are known.
func wald(r row) string {
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
