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
	// suspect, and longestTest the bound up to which it doubles with every failed test.
	// Spells of failures last seconds, and each failed test spends a retry.
	firstTest   = 400 * time.Millisecond
	longestTest = 800 * time.Millisecond
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

// pace is the pause before any request tests a suspect that no repeatable one has tested
// meanwhile. It doubles with every failed test: each fails a request of a caller.
type pace struct{ first, longest time.Duration }

// paces are those of a service that serves well and of one that is pressed. In the latter
// each target counts, and none of the floor may go without a request for two seconds.
var (
	calmPace    = pace{first: 2500 * time.Millisecond, longest: 6 * time.Second}
	pressedPace = pace{first: 1700 * time.Millisecond, longest: 1700 * time.Millisecond}
)

// after returns the pause after a number of tests failed in a row.
func (p pace) after(failed int) time.Duration {
	return min(p.first<<min(failed, maxDoublings), p.longest)
}

// maxDoublings bounds the doubling of pauses; all have reached their bound by then.
const maxDoublings = 8

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
	// passed and failed count the tests passed and failed in a row.
	passed, failed int
	// tried is when the last test ended, or the suspicion began.
	tried time.Time
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
	s.passed, s.failed = 0, 0
	s.tried = now
}

func (s *suspicion) failTest(now time.Time) {
	s.passed = 0
	s.failed++
	s.tried = now
}

// testAt returns when a request that may be repeated tests the target. A passed test is
// followed by the next one at once.
func (s *suspicion) testAt() time.Time {
	if s.passed > 0 {
		return s.tried
	}
	return s.tried.Add(min(firstTest<<min(s.failed, maxDoublings), longestTest))
}

// riskAt returns when any request tests the target.
func (s *suspicion) riskAt(p pace) time.Time {
	if s.passed > 0 {
		return s.tried
	}
	return s.tried.Add(p.after(s.failed))
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
	s.tried = now
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
