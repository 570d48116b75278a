package caller

import (
	"math"
	"time"
)

const (
	// usageTime is the time constant with which past use of slots is forgotten. It is several times
	// the work of a request, and short against the time for which accounts flood.
	usageTime = 4 * time.Second
	// usageStep is the interval at which use decays. A step passes over all accounts in use.
	usageStep = 100 * time.Millisecond
	// minUsage is the use below which an account is forgotten.
	minUsage = 0.05
)

// usageKey identifies an account within a priority.
type usageKey struct {
	account  string
	priority int
}

// usage is how many slots were asked for and given.
type usage struct{ asked, given float64 }

// accountUsage is how many slots of a host's requests each account asked for and was given of late,
// with exponential decay. It holds only the accounts of the last few usageTimes.
type accountUsage struct {
	byAccount map[usageKey]usage
	// totals and accounts are the sums and the numbers of accounts by priority.
	totals   map[int]usage
	accounts map[int]int
	updated  time.Time
}

func newAccountUsage() accountUsage {
	return accountUsage{byAccount: make(map[usageKey]usage), totals: make(map[int]usage), accounts: make(map[int]int)}
}

func (u *accountUsage) decay(now time.Time) {
	elapsed := now.Sub(u.updated)
	if elapsed < usageStep {
		return
	}
	u.updated = now
	factor := math.Exp(-float64(elapsed) / float64(usageTime))
	clear(u.totals)
	clear(u.accounts)
	for k, v := range u.byAccount {
		v.asked, v.given = v.asked*factor, v.given*factor
		if v.asked < minUsage && v.given < minUsage {
			delete(u.byAccount, k)
			continue
		}
		u.byAccount[k] = v
		t := u.totals[k.priority]
		u.totals[k.priority] = usage{asked: t.asked + v.asked, given: t.given + v.given}
		u.accounts[k.priority]++
	}
}

// add counts slots that a request asked for or was given.
func (u *accountUsage) add(r AdmissionRequest, n usage, now time.Time) {
	u.decay(now)
	k := usageKey{r.Account, r.Priority}
	v, known := u.byAccount[k]
	if !known {
		u.accounts[r.Priority]++
	}
	u.byAccount[k] = usage{asked: v.asked + n.asked, given: v.given + n.given}
	t := u.totals[r.Priority]
	u.totals[r.Priority] = usage{asked: t.asked + n.asked, given: t.given + n.given}
}

// fairness returns 1 for an account with at most its fair share of the slots given to its priority,
// and the ratio of that share to its use otherwise. An account that is served much less often than
// all is not held back.
func (u *accountUsage) fairness(r AdmissionRequest, now time.Time) float64 {
	u.decay(now)
	own, all := u.byAccount[usageKey{r.Account, r.Priority}], u.totals[r.Priority]
	fair := 1 + all.asked/float64(max(1, u.accounts[r.Priority]))
	if own.asked <= fair || own.given*all.asked < minServiceShare*own.asked*all.given {
		return 1
	}
	return fair / own.asked
}
