package pool

import (
	"math"
	"time"
)

const (
	// episodeAges and episodeAgeStep define the ages that episodes are told apart by. The last
	// age stands for all later ones too.
	episodeAges    = 24
	episodeAgeStep = 500 * time.Millisecond
	// priorEpisode is the assumed length of an episode, and priorEnds how many observed ends
	// at each age the assumption counts for. Without it, one early end would decide.
	priorEpisode = 4 * time.Second
	priorEnds    = 0.3
	// episodeHalfLife is the time in which half of the weight of the observations decays, so that
	// a change of the kind of episodes is learned within minutes.
	episodeHalfLife = 90 * time.Second
	// passWhileFailing is the share of the requests that a failing target serves.
	passWhileFailing = 0.1
)

// episodes is what a service has learned of how long its targets' episodes of failures last: the
// rate at which they end, by their age. All hosts see all ends of requests, so that they learn
// nearly the same. The control thread owns it.
type episodes struct {
	// exposure is how long targets are known to have been failing at each age, in seconds, and
	// ends the number of episodes that ended at it.
	exposure, ends [episodeAges]float64
}

// decay reduces the weight of the observations after the given time.
func (e *episodes) decay(interval time.Duration) {
	keep := math.Exp2(-float64(interval) / float64(episodeHalfLife))
	for i := range e.ends {
		e.exposure[i] *= keep
		e.ends[i] *= keep
	}
}

// endRate returns the rate at which episodes of an age end, in ends a second.
func (e *episodes) endRate(i int) float64 {
	return (e.ends[i] + priorEnds) / (e.exposure[i] + priorEnds*priorEpisode.Seconds())
}

// eachAge calls f with each age between two times after the beginning of an episode, and with the
// part of the time between them that belongs to it, in seconds. It stops if f returns false.
func eachAge(from, to time.Duration, f func(age int, part float64) bool) {
	for from = max(0, from); from < to; {
		age := min(int(from/episodeAgeStep), episodeAges-1)
		end := to
		if age < episodeAges-1 {
			end = min(to, time.Duration(age+1)*episodeAgeStep)
		}
		if !f(age, (end - from).Seconds()) {
			return
		}
		from = end
	}
}

// lasted counts an episode that was still going on at an age, and before that at another.
func (e *episodes) lasted(from, to time.Duration) {
	eachAge(from, to, func(age int, part float64) bool {
		e.exposure[age] += part
		return true
	})
}

// ended counts an episode that ended between two ages. The end is shared among the ages between
// them by the probability that it was at each of them.
func (e *episodes) ended(from, to time.Duration) {
	ended := e.endedBy(from, to)
	if ended <= 0 {
		return
	}
	var ends, exposure [episodeAges]float64
	lasting := 1.0
	eachAge(from, to, func(age int, part float64) bool {
		rate := e.endRate(age)
		left := lasting * math.Exp(-rate*part)
		ends[age] += (lasting - left) / ended
		// The time spent at this age by episodes that ended later or at it.
		exposure[age] += max(0, (lasting-left)/rate-(1-ended)*part) / ended
		lasting = left
		return true
	})
	for age := range ends {
		e.ends[age] += ends[age]
		e.exposure[age] += exposure[age]
	}
}

// endedBy returns the probability that an episode that was going on at an age has ended at a later
// one.
func (e *episodes) endedBy(from, to time.Duration) float64 {
	hazard := 0.0
	eachAge(from, to, func(age int, part float64) bool {
		hazard += e.endRate(age) * part
		return true
	})
	return -math.Expm1(-hazard)
}

// likelyEnd returns the age from which an episode that was going on at an age has ended with at
// least the given probability, which is below 1.
func (e *episodes) likelyEnd(from time.Duration, probability float64) time.Duration {
	hazard := -math.Log1p(-probability)
	at := from
	eachAge(from, math.MaxInt64, func(age int, part float64) bool {
		rate := e.endRate(age)
		if hazard <= rate*part || age == episodeAges-1 {
			at += time.Duration(hazard / rate * float64(time.Second))
			return false
		}
		hazard -= rate * part
		at += time.Duration(part * float64(time.Second))
		return true
	})
	return at
}
