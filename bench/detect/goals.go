package main

import (
	"fmt"
	"io"
	"time"

	"github.com/crocushinge/crocushinge/contract"
)

// Performance goals.
const (
	failsAllP50 = 500 * time.Millisecond
	failsAllP99 = time.Second
	slowP99     = 2 * time.Second
	// safetyRate is the highest permitted rate of false ejections at weight
	// safety, per 10,000 target-hours.
	safetyRate = 1
)

// goalChecker checks the performance goals against the measured rows.
type goalChecker struct {
	w      io.Writer
	missed int
}

// check prints one line for a goal and counts it if it is missed.
func (c *goalChecker) check(met bool, format string, args ...any) {
	word := "met"
	if !met {
		word = "MISSED"
		c.missed++
	}
	fmt.Fprintf(c.w, "%-6s  %s\n", word, fmt.Sprintf(format, args...))
}

// checkGoals checks all performance goals and returns how many are missed.
func checkGoals(w io.Writer, rows []row) int {
	c := &goalChecker{w: w}
	for _, r := range rows {
		if r.gray != nil {
			c.checkDetectionTimes(r)
		}
	}
	for _, d := range deployments {
		c.checkSafetyRate(totalOf(d, rows))
		c.checkBaselines(d, rows)
	}
	return c.missed
}

// checkDetectionTimes checks the detection times of a row.
func (c *goalChecker) checkDetectionTimes(r row) {
	s := summarize(r.measurements[0].results)
	switch {
	case r.gray.name == "fails all":
		met := s.p50 <= failsAllP50 && s.p99 <= failsAllP99 && s.missed == 0
		c.check(met, "%s, %s: p50 %s within %s, p99 %s within %s, %d missed",
			r.d.name, r.kind(), s.p50, failsAllP50, s.p99, failsAllP99, s.missed)
	case r.gray.name == "10x slower" && r.d.weight == contract.WeightDetection:
		c.check(s.p99 <= slowP99 && s.missed == 0, "%s, %s: p99 %s within %s, %d missed",
			r.d.name, r.kind(), s.p99, slowP99, s.missed)
	}
}

// checkSafetyRate checks the rate of false ejections at weight safety. If the
// rate meets the goal but its upper confidence bound does not, there are too few
// target-hours to decide and the goal is reported as open.
func (c *goalChecker) checkSafetyRate(t total) {
	if t.d.weight != contract.WeightSafety || t.targetHours == 0 {
		return
	}
	if t.rate() <= safetyRate && t.upperBound() > safetyRate {
		fmt.Fprintf(c.w, "open    %s: too few target-hours to show at most %d false ejection in 10,000\n", t.d.name, safetyRate)
		return
	}
	c.check(t.rate() <= safetyRate, "%s: at most %d false ejection in 10,000 target-hours; %.2f seen, at most %.2f at %.0f%% confidence",
		t.d.name, safetyRate, t.rate(), t.upperBound(), 100*confidence)
}

// checkBaselines checks that no baseline is better on both detection time and
// false ejections, for each gray kind alone and with each healthy kind.
func (c *goalChecker) checkBaselines(d deployment, rows []row) {
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
			worse += c.worsePairs(grays, healthies, i)
		}
	}
	c.check(worse == 0, "%s: worse than no baseline on both measures in any of %d rows of faults, alone and with each of %d of healthy targets",
		d.name, len(grays), len(healthies))
}

// worsePairs prints and counts the cases in which the baseline has both better
// detection and fewer false ejections. A case is a gray kind by itself or with a
// healthy kind.
func (c *goalChecker) worsePairs(grays, healthies []row, baseline int) int {
	worse := 0
	for _, g := range grays {
		if !detectsWorse(g, baseline) {
			continue
		}
		if ejectsWorse(g, baseline) {
			worse++
			fmt.Fprintf(c.w, "        %s, %s: worse than %q in this row\n", g.d.name, g.kind(), methods[baseline].name)
		}
		for _, h := range healthies {
			if ejectsWorse(h, baseline) {
				worse++
				fmt.Fprintf(c.w, "        %s, %s with %s: worse than %q\n", g.d.name, g.kind(), h.kind(), methods[baseline].name)
			}
		}
	}
	return worse
}

// detectsWorse reports whether the baseline misses a smaller share of the faults,
// or the same share with a lower detection time at p50 or p99.
func detectsWorse(r row, baseline int) bool {
	ours, other := r.measurements[0], r.measurements[baseline]
	a, b := summarize(ours.results), summarize(other.results)
	missed, otherMissed := float64(a.missed)/float64(len(ours.results)), float64(b.missed)/float64(len(other.results))
	if missed != otherMissed {
		return missed > otherMissed
	}
	return a.p50 > b.p50 || a.p99 > b.p99
}

// ejectsWorse reports whether the baseline has fewer false ejections per run.
func ejectsWorse(r row, baseline int) bool {
	ours, other := r.measurements[0], r.measurements[baseline]
	a, b := summarize(ours.results), summarize(other.results)
	return float64(a.falseEjections)/float64(len(ours.results)) > float64(b.falseEjections)/float64(len(other.results))
}
