package main

import (
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

func TestGeneratorRepeatsItself(t *testing.T) {
	is := is.New(t)
	is.Equal(faults(t, "checkout", "fails 30%", 5), faults(t, "checkout", "fails 30%", 5))
}
