package pool

import (
	"time"

	"github.com/crocushinge/crocushinge/link"
)

// Evidence of single outcomes. A target becomes a suspect at 1.
const (
	// strongEvidence is the evidence of a request that failed much sooner than the
	// service's typical latency, for instance because its connection broke, and of a
	// connect failure that several hosts see. At healthy targets, fewer than one
	// request in a thousand ends like that.
	strongEvidence = 1.0
	// weakEvidence is the evidence of a later failure or of an overdue request:
	// healthy targets fail about one request in a hundred.
	weakEvidence = 0.3
	// successCredit is the evidence that a success takes away.
	successCredit = 0.25
	// suspectThreshold is the evidence at which a target becomes a suspect. On
	// probation, probationThreshold applies instead. Two failures with weak evidence
	// reach it; one does not, since healthy targets lose single responses.
	suspectThreshold   = 1.0
	probationThreshold = 0.55
)

// Delays and periods of a suspicion.
const (
	// firstTrialDelay is the delay before a retryable request is sent to a suspect
	// as a trial. It doubles with every failed trial up to maxTrialDelay. Bursts of
	// failures last seconds, and each failed trial spends a retry.
	firstTrialDelay = 400 * time.Millisecond
	maxTrialDelay   = 800 * time.Millisecond
	// riskyTrialDelay is the delay after which any request may be sent to a suspect as
	// a trial, if no retryable request was sent before. It stays below the two seconds
	// within which every target of the floor must get a request.
	riskyTrialDelay = 1700 * time.Millisecond
	// trialJitter and riskyTrialJitter are the limits of the random delays that
	// keep the hosts of a fleet from sending the same trial request at once.
	trialJitter      = 200 * time.Millisecond
	riskyTrialJitter = 250 * time.Millisecond
	// probationTime is how long a target is on probation after a suspicion has ended.
	// Less evidence is enough for the next suspicion in that time.
	probationTime = 2 * time.Second
	// evidenceHalfLife is the time in which half of the evidence decays.
	evidenceHalfLife = 3 * time.Second
)

// trialsToPass is how many trial requests in a row must succeed to end a suspicion. A
// target that fails nine requests in ten passes two trials with a probability of one
// in a hundred; one that fails half becomes a suspect again on probation.
const trialsToPass = 2

// suspicion is the evidence against a target. The control thread owns it.
type suspicion struct {
	evidence float64
	updated  time.Time

	suspect bool
	since   time.Time
	// failedAt is when the target last failed a request, and passedAt when it passed the first of
	// its trial requests in a row.
	failedAt, passedAt time.Time
	// trialsPassed counts the successful trial requests in a row, and trialFailed
	// is set once one has failed.
	trialsPassed int
	trialFailed  bool
	// trialDelay is the current delay before a trial request.
	trialDelay time.Duration
	// trialAt is when a retryable request may be a trial, and riskyTrialAt when
	// any request may.
	trialAt, riskyTrialAt time.Time
	// probationUntil is set when a suspicion ends.
	probationUntil time.Time
}

// decay reduces the evidence according to the time since its last update.
func (s *suspicion) decay(now time.Time) {
	if age := now.Sub(s.updated); age > 0 && s.evidence > 0 {
		for ; age >= evidenceHalfLife && s.evidence > 0.01; age -= evidenceHalfLife {
			s.evidence /= 2
		}
		s.evidence *= 1 - 0.5*float64(age)/float64(evidenceHalfLife)
	}
	s.updated = now
}

// recordFailure adds evidence against the target; for a suspect it counts a failed
// trial request instead. It reports whether the target became a suspect.
func (s *suspicion) recordFailure(evidence float64, now time.Time) bool {
	if s.suspect {
		s.failTrial(now)
		return false
	}
	s.decay(now)
	s.evidence += evidence
	threshold := suspectThreshold
	if now.Before(s.probationUntil) {
		threshold = probationThreshold
	}
	if s.evidence < threshold {
		return false
	}
	s.begin(now)
	return true
}

func (s *suspicion) begin(now time.Time) {
	s.suspect = true
	s.since, s.failedAt = now, now
	s.trialsPassed = 0
	s.trialDelay = firstTrialDelay
	s.trialAt = now.Add(s.trialDelay)
	s.riskyTrialAt = now.Add(riskyTrialDelay)
}

func (s *suspicion) failTrial(now time.Time) {
	s.trialsPassed = 0
	s.trialFailed = true
	s.failedAt = now
	s.trialDelay = min(2*s.trialDelay, maxTrialDelay)
	s.trialAt = now.Add(s.trialDelay)
	s.riskyTrialAt = now.Add(riskyTrialDelay)
}

// recordSuccess counts the success of a request that began at the given time. Requests
// that began before the suspicion do not count as trials. It reports whether the target
// stopped being a suspect.
func (s *suspicion) recordSuccess(began, now time.Time) bool {
	if !s.suspect {
		s.decay(now)
		s.evidence = max(0, s.evidence-successCredit)
		return false
	}
	if began.Before(s.since) {
		return false
	}
	if s.trialsPassed == 0 {
		s.passedAt = now
	}
	s.trialsPassed++
	// A target that fails most requests passes single trials. The next trial is a request
	// that loses nothing, unless none comes.
	s.trialAt = now
	s.riskyTrialAt = now.Add(riskyTrialDelay)
	if s.trialsPassed < trialsToPass {
		return false
	}
	s.end(now)
	return true
}

func (s *suspicion) end(now time.Time) {
	*s = suspicion{updated: now, probationUntil: now.Add(probationTime)}
}

// connectFailures holds when each host last failed to connect to a target. If only one
// host fails to connect, its own link may be broken.
type connectFailures map[string]time.Time

// connectFailureWindow is how long a failure to connect counts.
const connectFailureWindow = 2 * time.Second

// add records a failure of a host and returns how many hosts failed within the
// window.
func (c *connectFailures) add(host string, now time.Time) int {
	if *c == nil {
		*c = make(connectFailures)
	}
	(*c)[host] = now
	for h, at := range *c {
		if now.Sub(at) > connectFailureWindow {
			delete(*c, h)
		}
	}
	return len(*c)
}

// Ending is how a request at a target ended, on any host.
type Ending struct {
	// Host is the host that sent the request.
	Host    string
	Outcome link.Outcome
	// Latency is the time from sending the request to the end of the response.
	Latency time.Duration
	// Retryable is set if the request may run again.
	Retryable bool
}
