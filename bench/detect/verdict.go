package main

import (
	"fmt"
	"io"
	"time"

	"github.com/crocushinge/crocushinge/contract"
)

// Stated targets.
const (
	failsAllP50 = 500 * time.Millisecond
	failsAllP99 = time.Second
	slowP99     = 2 * time.Second
	// safetyRate is the greatest rate of false ejections at weight safety, in
	// 10,000 target-hours.
	safetyRate = 1
)

// verdicts checks the stated targets over the rows that were measured.
type verdicts struct {
	w      io.Writer
	missed int
}

// check prints one line for a stated target.
func (v *verdicts) check(met bool, format string, args ...any) {
	word := "met"
	if !met {
		word = "MISSED"
		v.missed++
	}
	fmt.Fprintf(v.w, "%-6s  %s\n", word, fmt.Sprintf(format, args...))
}

// printVerdicts checks all stated targets and returns how many are missed.
func printVerdicts(w io.Writer, rows []row) int {
	v := &verdicts{w: w}
	for _, r := range rows {
		if r.gray != nil {
			v.times(r)
		}
	}
	for _, d := range deployments {
		v.safety(totalOf(d, rows))
		v.baselines(d, rows)
	}
	return v.missed
}

// times checks the detection times of a row.
func (v *verdicts) times(r row) {
	s := summarize(r.measurements[0].results)
	switch {
	case r.gray.name == "fails all":
		met := s.p50 <= failsAllP50 && s.p99 <= failsAllP99 && s.missed == 0
		v.check(met, "%s, %s: p50 %s within %s, p99 %s within %s, %d missed",
			r.d.name, r.kind(), s.p50, failsAllP50, s.p99, failsAllP99, s.missed)
	case r.gray.name == "10x slower" && r.d.weight == contract.WeightDetection:
		v.check(s.p99 <= slowP99 && s.missed == 0, "%s, %s: p99 %s within %s, %d missed",
			r.d.name, r.kind(), s.p99, slowP99, s.missed)
	}
}

// safety checks the rate of false ejections at weight safety. A low count in
// few hours shows nothing yet: then the upper bound is over the target.
func (v *verdicts) safety(t total) {
	if t.d.weight != contract.WeightSafety || t.hours == 0 {
		return
	}
	if t.rate() <= safetyRate && t.upper() > safetyRate {
		fmt.Fprintf(v.w, "open    %s: too few target-hours to show at most %d false ejection in 10,000\n", t.d.name, safetyRate)
		return
	}
	v.check(t.rate() <= safetyRate, "%s: at most %d false ejection in 10,000 target-hours; %.2f seen, at most %.2f at %.0f%% confidence",
		t.d.name, safetyRate, t.rate(), t.upper(), 100*confidence)
}

// baselines checks that a service is worse than no baseline on detection time
// and false ejections at once, for each pair of a gray and a healthy kind.
func (v *verdicts) baselines(d deployment, rows []row) {
	var grays, healthies []row
	for _, r := range rows {
		switch {
		case r.d.name != d.name || len(r.measurements) < len(methods):
		case r.gray != nil:
			grays = append(grays, r)
		default:
			healthies = append(healthies, r)
		}
	}
	if len(grays) == 0 {
		return
	}
	worse := 0
	for i, m := range methods {
		if m.baseline {
			worse += v.worsePairs(grays, healthies, i)
		}
	}
	v.check(worse == 0, "%s: worse than no baseline on both measures in any of %d rows of faults, alone and with each of %d of healthy targets",
		d.name, len(grays), len(healthies))
}

// worsePairs prints and counts the pairs in which a baseline is better on both
// measures.
func (v *verdicts) worsePairs(grays, healthies []row, baseline int) int {
	worse := 0
	for _, g := range grays {
		if !detectsWorse(g, baseline) {
			continue
		}
		if ejectsWorse(g, baseline) {
			worse++
			fmt.Fprintf(v.w, "        %s, %s: worse than %q in this row\n", g.d.name, g.kind(), methods[baseline].name)
		}
		for _, h := range healthies {
			if ejectsWorse(h, baseline) {
				worse++
				fmt.Fprintf(v.w, "        %s, %s with %s: worse than %q\n", g.d.name, g.kind(), h.kind(), methods[baseline].name)
			}
		}
	}
	return worse
}

// detectsWorse reports whether a baseline misses a smaller share of the faults,
// or as many and finds them sooner at p50 or p99.
func detectsWorse(r row, baseline int) bool {
	ours, other := r.measurements[0], r.measurements[baseline]
	a, b := summarize(ours.results), summarize(other.results)
	missed, otherMissed := float64(a.missed)/float64(len(ours.results)), float64(b.missed)/float64(len(other.results))
	if missed != otherMissed {
		return missed > otherMissed
	}
	return a.p50 > b.p50 || a.p99 > b.p99
}

// ejectsWorse reports whether a baseline ejects healthy targets at a lower
// rate.
func ejectsWorse(r row, baseline int) bool {
	ours, other := r.measurements[0], r.measurements[baseline]
	a, b := summarize(ours.results), summarize(other.results)
	return float64(a.wrong)/float64(len(ours.results)) > float64(b.wrong)/float64(len(other.results))
}
