package main

import (
	"io"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// ownMethod is the detection of package service.
var ownMethod = methods[0]

// faults runs a number of faults of one kind against one service.
func faults(t *testing.T, serviceName, kind string, n int) summary {
	t.Helper()
	for _, d := range deployments {
		for _, k := range grayKinds {
			if d.name != serviceName || k.name != kind {
				continue
			}
			var results []result
			for seed := range uint64(n) {
				results = append(results, runFault(d, k, ownMethod, seed+1))
			}
			return summarize(results)
		}
	}
	t.Fatalf("no kind %q for service %q", kind, serviceName)
	return summary{}
}

// The bounds on p50 are the stated targets. These tests run too few faults for
// a p99, which the committed table gives; missed faults count in any case.

func TestTargetThatFailsAllIsOutInTime(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"checkout", "release"} {
		s := faults(t, name, "fails all", 30)
		is.Equal(s.missed, 0)
		is.Equal(s.wrong, 0)
		is.True(s.p50 <= 500*time.Millisecond)
	}
}

func TestSlowViewerIsOutInTime(t *testing.T) {
	is := is.New(t)
	s := faults(t, "viewer", "10x slower", 8)
	is.Equal(s.missed, 0)
	is.Equal(s.wrong, 0)
	is.True(s.p99 <= 2*time.Second)
}

func TestEveryGrayKindIsFoundAtCheckout(t *testing.T) {
	is := is.New(t)
	for _, k := range grayKinds {
		s := faults(t, "checkout", k.name, 10)
		is.Equal(s.missed, 0)
		is.Equal(s.wrong, 0)
	}
}

func TestHealthyCheckoutIsLeftAlone(t *testing.T) {
	is := is.New(t)
	for _, k := range healthyKinds {
		for _, d := range deployments {
			if d.name != "checkout" {
				continue
			}
			det := newOurs(d)
			newGenerator(d, 1, k.behavior(1), det).run(10*time.Minute, nil)
			is.Equal(sum(det.ejections()), 0)
		}
	}
}

func TestPoissonBound(t *testing.T) {
	is := is.New(t)
	for n, bound := range []float64{2.996, 4.744, 6.296} { // tables of the exact bound at 95%
		is.True(math.Abs(poissonBound(n)-bound) < 0.001)
	}
}

// measured makes a row of one run for each method.
func measured(d deployment, gray *grayKind, healthy *healthyKind, results ...result) row {
	r := row{d: d, gray: gray, healthy: healthy}
	for i, m := range methods {
		r.measurements = append(r.measurements, measurement{method: m, results: results[i : i+1], targetHours: 1})
	}
	return r
}

func TestMissedTargetsAreCounted(t *testing.T) {
	const soon, late = 100 * time.Millisecond, 1500 * time.Millisecond
	checkout, viewer := deployments[1], deployments[2]
	failsAll, slow, tail := &grayKinds[0], &grayKinds[2], &healthyKinds[0]
	found := func(at time.Duration, wrong int) result { return result{detected: at, wrong: wrong} }
	cases := []struct {
		name   string
		rows   []row
		missed int
	}{
		{"all met", []row{measured(viewer, failsAll, nil, found(soon, 0), found(late, 0), found(late, 0))}, 0},
		{"fails all found late", []row{measured(viewer, failsAll, nil, found(late, 0), found(late, 0), found(late, 0))}, 1},
		{"fails all not found", []row{measured(viewer, failsAll, nil, found(0, 0), found(0, 0), found(0, 0))}, 1},
		{"slow found late", []row{measured(viewer, slow, nil, found(2*late, 0), found(2*late, 0), found(2*late, 0))}, 1},
		{"healthy ejected at weight safety", []row{measured(checkout, nil, tail, found(0, 1), found(0, 1), found(0, 1))}, 1},
		{"both measures worse in one row", []row{measured(viewer, failsAll, nil, found(2*soon, 1), found(soon, 0), found(late, 0))}, 1},
		{"both measures worse in two rows", []row{
			measured(viewer, failsAll, nil, found(2*soon, 0), found(soon, 0), found(late, 0)),
			measured(viewer, nil, tail, found(0, 1), found(0, 0), found(0, 9)),
		}, 1},
		{"one measure worse", []row{measured(viewer, failsAll, nil, found(2*soon, 0), found(soon, 0), found(late, 0))}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(printVerdicts(io.Discard, c.rows), c.missed)
		})
	}
}

func TestGeneratorRepeatsItself(t *testing.T) {
	is := is.New(t)
	is.Equal(faults(t, "checkout", "fails 30%", 5), faults(t, "checkout", "fails 30%", 5))
}
