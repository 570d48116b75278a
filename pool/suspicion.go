package pool

import (
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// Evidence of an outcome, in units of the threshold at which a target becomes a
// suspect.
const (
	// strong is the evidence of a request that failed much sooner than the
	// service works, or whose connection broke: healthy targets do that to
	// fewer than one request in a thousand.
	strong = 1.0
	// weak is the evidence of a failure after the usual time: healthy targets
	// fail about one request in a hundred.
	weak = 0.3
	// relief is how much a success takes away.
	relief = 0.25
	// threshold is the evidence that makes a suspect, and probationThreshold
	// what makes one again soon after its return: two failures after the usual
	// time, since healthy targets lose single answers.
	threshold          = 1.0
	probationThreshold = 0.55
)

// Times of a suspicion.
const (
	// firstTest is the pause before a request that may be repeated tests a
	// suspect, and longestTest the bound up to which it doubles with every
	// failed test. Spells of failures last seconds, and each failed test spends
	// a retry.
	firstTest   = 400 * time.Millisecond
	longestTest = 800 * time.Millisecond
	// riskPause is the pause before any request tests a suspect that no repeatable
	// one has tested meanwhile. It stays below the two seconds within which every
	// target of the floor must see a request.
	riskPause = 1700 * time.Millisecond
	// testSpread and riskSpread are the times over which the hosts of a fleet
	// spread the same test.
	testSpread = 200 * time.Millisecond
	riskSpread = 250 * time.Millisecond
	// probation is how long after its return a target is suspected again on
	// less evidence.
	probation = 2 * time.Second
	// forget is the time in which half of the evidence fades.
	forget = 3 * time.Second
)

// passes is how many tests in a row end a suspicion. A target that fails nine in
// ten passes two with a chance of one in a hundred; one that fails half is caught
// again on probation.
const passes = 2

// suspicion is the evidence against a target. The control thread owns it.
type suspicion struct {
	evidence float64
	updated  time.Time

	suspect bool
	since   time.Time
	// passed counts the tests passed in a row, and failed is set after a test
	// has failed.
	passed int
	failed bool
	// pause is the present pause before a test.
	pause          time.Duration
	testAt, riskAt time.Time
	// probationUntil is set after a suspicion ended.
	probationUntil time.Time
}

// fade lets old evidence count less.
func (s *suspicion) fade(now time.Time) {
	if age := now.Sub(s.updated); age > 0 && s.evidence > 0 {
		for ; age >= forget && s.evidence > 0.01; age -= forget {
			s.evidence /= 2
		}
		s.evidence *= 1 - 0.5*float64(age)/float64(forget)
	}
	s.updated = now
}

// blame counts evidence against the target. It reports whether the target
// became a suspect.
func (s *suspicion) blame(nats float64, now time.Time) bool {
	if s.suspect {
		s.failTest(now)
		return false
	}
	s.fade(now)
	s.evidence += nats
	limit := threshold
	if now.Before(s.probationUntil) {
		limit = probationThreshold
	}
	if s.evidence < limit {
		return false
	}
	s.begin(now)
	return true
}

func (s *suspicion) begin(now time.Time) {
	s.suspect = true
	s.since = now
	s.passed = 0
	s.pause = firstTest
	s.testAt = now.Add(s.pause)
	s.riskAt = now.Add(riskPause)
}

func (s *suspicion) failTest(now time.Time) {
	s.passed = 0
	s.failed = true
	s.pause = min(2*s.pause, longestTest)
	s.testAt = now.Add(s.pause)
	s.riskAt = now.Add(riskPause)
}

// acquit counts a success of a request that began at the given time. It reports
// whether the target is no suspect any more.
func (s *suspicion) acquit(began, now time.Time) bool {
	if !s.suspect {
		s.fade(now)
		s.evidence = max(0, s.evidence-relief)
		return false
	}
	if began.Before(s.since) {
		return false
	}
	s.passed++
	s.testAt = now
	s.riskAt = now
	if s.passed < passes {
		return false
	}
	s.end(now)
	return true
}

func (s *suspicion) end(now time.Time) {
	*s = suspicion{updated: now, probationUntil: now.Add(probation)}
}

// unreachedBy remembers which hosts could not connect lately. One host may have
// a broken link of its own.
type unreachedBy map[string]time.Time

// unreachedMemory is how long a failure to connect is remembered.
const unreachedMemory = 2 * time.Second

// add notes a host and returns how many have failed lately.
func (u *unreachedBy) add(host string, now time.Time) int {
	if *u == nil {
		*u = make(unreachedBy)
	}
	(*u)[host] = now
	for h, at := range *u {
		if now.Sub(at) > unreachedMemory {
			delete(*u, h)
		}
	}
	return len(*u)
}

// Ending is the end of a request at a target, on any host.
type Ending struct {
	// Host is the host that sent the request.
	Host    string
	Outcome link.Outcome
	// Latency is the time from the dispatch to the end of the answer.
	Latency time.Duration
}
