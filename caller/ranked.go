package caller

import (
	"cmp"
	"slices"
	"time"
)

// Outlook is what a host knows of the slots of a service and of those who wait for them.
type Outlook struct {
	// Typical is the typical latency of the service; 0 if it is not known.
	Typical time.Duration
	// Slots is the number of slots of trusted targets, InFlight how many requests these targets
	// have, and Room how many more they take now.
	Slots, InFlight, Room int
	// OpensIn is the time until a trusted target accepts requests again, if none does; 0 otherwise, and
	// if it is not known.
	OpensIn time.Duration
	// Elsewhere is the number of requests that wait at other hosts.
	Elsewhere [Classes]int
	// Hosts is the number of hosts that send requests to the service, this one included.
	Hosts int
}

// unseen returns how many requests the other hosts send within DrawInterval while all slots are in
// use. This host does not see them yet, and they go to the same free slots.
func (o Outlook) unseen() int {
	if o.Typical == 0 || o.Hosts <= 1 {
		return 0
	}
	return int(time.Duration(o.Slots*(o.Hosts-1)/o.Hosts) * DrawInterval / o.Typical)
}

// Policy is how an AdmissionQueue of one host shares slots with the queues of other hosts.
type Policy struct {
	Order Order
	// Outlook returns the latest outlook of the service. It is called with the lock of the
	// queue held.
	Outlook func(now time.Time) Outlook
	// Random returns a random number from 0 to 1.
	Random func() float64
}

const (
	// DrawInterval is the time between two draws of a host for the same free slots. The other
	// hosts learn of a slot that was taken about this much later.
	DrawInterval = 40 * time.Millisecond
	// decisionShare is the share of the objective within which a request that would wait for too
	// long is refused. Callers lose nothing by a refusal within an eighth; the rest is for
	// the way to the caller and the interval of the reviews.
	decisionShare = 0.1
	// minServiceShare is how often each class and account is served relative to all, at least. A
	// quarter is required; the rest is for the delay and the noise of the averages.
	minServiceShare = 0.4
	// mixWeight averages the mix of classes over about fifty requests.
	mixWeight = 0.02
	// waitShare is the share of the slack that a request may be expected to wait. The rest is for
	// the error of the estimate: in an overload, most requests wait for as long as they may.
	waitShare = 0.7
	// lateWaitShare is the share of the slack that a late request may wait: it is worth less, and
	// uses what others leave free.
	lateWaitShare = 0.6
)

// ranked is a backlog that serves the request whose delay costs most. Free slots are shared with
// the other hosts that have requests waiting.
type ranked struct {
	policy   Policy
	requests []*queuedRequest
	// outlook is as of the beginning of the round of grants. Only classes below limit are still
	// served in the round.
	outlook Outlook
	limit   Class
	// vain are the requests that were found to wait in vain at the beginning of the round.
	vain []*queuedRequest
	// nextDraw is when this host draws again for slots for which requests wait at other hosts.
	nextDraw time.Time
	// arrivals and grants are moving averages of the shares of the classes in this host's
	// requests and in those that got a slot.
	arrivals, grants [Classes]float64
	usage            accountUsage
}

var _ backlog = (*ranked)(nil)

func newRanked(p Policy) *ranked { return &ranked{policy: p, usage: newAccountUsage()} }

func (k *ranked) len() int { return len(k.requests) }

func (k *ranked) add(r *queuedRequest) { k.requests = append(k.requests, r) }

func (k *ranked) remove(r *queuedRequest) {
	k.requests = slices.DeleteFunc(k.requests, func(other *queuedRequest) bool { return other == r })
}

// begin ranks the queued requests, once for the whole round of grants.
func (k *ranked) begin(now time.Time) {
	k.limit = Classes
	k.outlook = k.policy.Outlook(now)
	for _, r := range k.requests {
		r.standing = k.standing(r, now)
		if !r.countedLate && r.standing.class == LateClass {
			r.countedLate = true
			addToMix(&k.arrivals, LateClass)
		}
	}
	slices.SortStableFunc(k.requests, func(a, b *queuedRequest) int { return b.standing.rank.compare(a.standing.rank) })
	var ahead [Classes]int
	k.vain = k.vain[:0]
	for _, r := range k.requests {
		r.standing.ahead = ahead
		if _, vain := k.hopeless(r, now, pace{}); vain {
			k.vain = append(k.vain, r)
			continue
		}
		ahead[r.standing.class]++
	}
}

// next returns the requests that wait in vain, and then the one that is served first.
func (k *ranked) next(time.Time) *queuedRequest {
	if len(k.vain) > 0 {
		r := k.vain[0]
		k.vain = k.vain[1:]
		return r
	}
	for _, r := range k.requests {
		if r.standing.class < k.limit {
			return r
		}
	}
	return nil
}

// standing is where a request stands among those of its host.
type standing struct {
	class Class
	rank  rank
	// ahead counts the requests of this host that are served before, by class.
	ahead [Classes]int
}

// standing returns where a request stands, without the requests ahead of it.
func (k *ranked) standing(r *queuedRequest, now time.Time) standing {
	class := r.class(now)
	return standing{class: class, rank: k.rank(r, class, now)}
}

// rank orders the requests: those of starving classes first, then by cost.
type rank struct {
	owed bool
	cost float64
}

// compare returns a positive number if a is served before b.
func (a rank) compare(b rank) int {
	if a.owed != b.owed {
		if a.owed {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.cost, b.cost)
}

func (k *ranked) rank(r *queuedRequest, class Class, now time.Time) rank {
	cost := k.policy.Order.cost(r, now, k.outlook.Typical)
	if !k.policy.Order.guarded {
		return rank{cost: cost}
	}
	return rank{
		owed: k.grants[class] < minServiceShare*k.arrivals[class],
		cost: cost * k.usage.fairness(r.request, now),
	}
}

// arrived counts a new request, and places it among the queued ones.
func (k *ranked) arrived(r *queuedRequest, now time.Time) {
	k.usage.add(r.request, usage{asked: 1}, now)
	r.standing = k.standing(r, now)
	r.countedLate = r.standing.class == LateClass
	addToMix(&k.arrivals, r.standing.class)
	for _, other := range k.requests {
		if other.standing.rank.compare(r.standing.rank) >= 0 {
			r.standing.ahead[other.standing.class]++
		}
	}
}

func (k *ranked) granted(r *queuedRequest, now time.Time) {
	addToMix(&k.grants, r.standing.class)
	k.usage.add(r.request, usage{given: 1}, now)
	k.outlook.Room--
	for _, other := range k.requests {
		if other.standing.rank.compare(r.standing.rank) <= 0 {
			other.standing.ahead[r.standing.class] = max(0, other.standing.ahead[r.standing.class]-1)
		}
	}
}

// addToMix counts a request in a moving average of the shares of the classes.
func addToMix(mix *[Classes]float64, class Class) {
	for c := range mix {
		mix[c] *= 1 - mixWeight
	}
	mix[class] += mixWeight
}

// blocked ends the round but for more urgent classes: the room that a request must leave to others may
// be theirs.
func (k *ranked) blocked(r *queuedRequest) {
	k.limit = 0
	if k.policy.Order.classed {
		k.limit = r.standing.class
	}
}

func (k *ranked) released() { k.nextDraw = time.Time{} }

// elsewhere returns how many requests at other hosts are served before those of a class, and how
// many with them. If the order does not depend on the classes, all are served with them.
func (k *ranked) elsewhere(class Class) (before, with int) {
	for c, n := range k.outlook.Elsewhere {
		switch {
		case !k.policy.Order.classed || Class(c) == class:
			with += n
		case Class(c) < class:
			before += n
		}
	}
	return before, with
}

// eligible reports whether this host may take a slot for the request. While more requests wait than
// there is room for, the room goes to the most urgent class, and within it to each host with a
// probability that follows its share of the waiting requests. A class that is owed service competes
// with all others.
func (k *ranked) eligible(r *queuedRequest, now time.Time) bool {
	class := r.standing.class
	before, with := k.elsewhere(class)
	if before > 0 && r.standing.rank.owed {
		before, with = 0, before+with
	}
	left := k.outlook.Room - before
	own := max(1, k.waiting(class))
	all := with + own
	if with > 0 || len(k.requests) > 1 || k.outlook.InFlight >= k.outlook.Slots {
		all += k.outlook.unseen()
	}
	if left <= 0 || left >= all {
		return left > 0
	}
	if now.Before(k.nextDraw) {
		return false
	}
	k.nextDraw = now.Add(DrawInterval)
	return k.policy.Random() < float64(left*own)/float64(all)
}

// waiting returns how many requests of a class wait at this host; all if the order does not depend
// on the classes.
func (k *ranked) waiting(class Class) int {
	n := 0
	for _, r := range k.requests {
		if !k.policy.Order.classed || r.standing.class == class {
			n++
		}
	}
	return n
}

// Waiting returns how many requests of each class wait.
func (a *AdmissionQueue) Waiting(now time.Time) (counts [Classes]int, oldest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, ok := a.queued.(*ranked)
	if !ok {
		return counts, 0
	}
	for _, r := range k.requests {
		counts[r.class(now)]++
		oldest = max(oldest, now.Sub(r.enqueued))
	}
	return counts, oldest
}

// forecast estimates the wait from the requests ahead at all hosts, and from the part of the slots
// that other classes leave to this one.
func (k *ranked) forecast(r *queuedRequest, now time.Time, _ pace) Forecast {
	class := r.standing.class
	before, with := k.elsewhere(class)
	for c, n := range r.standing.ahead {
		if k.policy.Order.classed && Class(c) < class {
			before += n
		} else {
			with += n
		}
	}
	f := Forecast{Ahead: before + with, Wait: k.outlook.OpensIn}
	excess := f.Ahead + 1 - k.outlook.Room
	if excess <= 0 || k.outlook.Slots == 0 {
		return f
	}
	perSlot := float64(k.outlook.Typical) / float64(k.outlook.Slots)
	wait := float64(excess) * perSlot / max(minMix, k.shareLeft(class))
	if k.policy.Order.guarded {
		if owed := minServiceShare * k.arrivals[class]; owed > 0 {
			wait = min(wait, float64(with+1)*perSlot/owed)
		}
		wait /= k.usage.fairness(r.request, now)
	}
	f.Wait += time.Duration(wait)
	return f
}

// minMix is the lowest share of the slots by which a wait is calculated.
const minMix = 0.01

// shareLeft returns the share of the slots that other classes leave to a class: the more urgent ones
// take what they do now, and the others what they are owed.
func (k *ranked) shareLeft(class Class) float64 {
	left := 1.0
	if !k.policy.Order.classed {
		return left
	}
	for c := range class {
		left -= k.grants[c]
	}
	for c := class + 1; c < Classes; c++ {
		left -= min(k.grants[c], minServiceShare*k.arrivals[c])
	}
	return left
}

// waitsTooLong reports whether the request's expected wait exceeds what its objective allows.
func (k *ranked) waitsTooLong(r *queuedRequest, now time.Time) bool {
	if k.outlook.Typical == 0 || r.request.Objective <= 0 {
		return false
	}
	share := waitShare
	if r.standing.class == LateClass {
		share = lateWaitShare
	}
	allowed := share * float64(Slack(r.request.Objective, k.outlook.Typical))
	return k.forecast(r, now, pace{}).Wait+now.Sub(r.enqueued) > time.Duration(allowed)
}

// timeTooShort reports whether the request would typically end after its deadline.
func (k *ranked) timeTooShort(r *queuedRequest, now time.Time) bool {
	return now.Add(k.outlook.OpensIn + k.outlook.Typical).After(r.request.Deadline)
}

func (k *ranked) refuses(r *queuedRequest, now time.Time, _ pace) (RefusalReason, bool) {
	if k.timeTooShort(r, now) {
		return TimeTooShort, true
	}
	if k.waitsTooLong(r, now) {
		return WaitTooLong, true
	}
	return Displaced, k.policy.Order.guarded && k.overQueueShare(r)
}

// hopeless reports that a queued request waits in vain. After decisionShare of its objective, a
// request waits for as long as its time suffices: a late refusal costs the caller more than a late
// response.
func (k *ranked) hopeless(r *queuedRequest, now time.Time, _ pace) (RefusalReason, bool) {
	if r.tooLate(now) {
		return HostStops, true
	}
	if k.timeTooShort(r, now) {
		return TimeTooShort, true
	}
	decided := now.Sub(r.enqueued) > time.Duration(decisionShare*float64(r.request.Objective))
	return WaitTooLong, !decided && k.waitsTooLong(r, now)
}

// overQueueShare reports whether the request's account has its fair share of the queue's places
// among the accounts of its priority that wait, and others wait too.
func (k *ranked) overQueueShare(r *queuedRequest) bool {
	accounts := map[string]bool{r.request.Account: true}
	own, all := 0, 0
	for _, other := range k.requests {
		if other.request.Priority != r.request.Priority {
			continue
		}
		accounts[other.request.Account] = true
		all++
		if other.request.Account == r.request.Account {
			own++
		}
	}
	return len(accounts) > 1 && all >= minPlaces && own >= max(1, r.request.Limits.Length/len(accounts))
}

// minPlaces is the number of waiting requests of a priority below which places are not shared out.
const minPlaces = 4

// displaced returns the request that is served last of the account with the most places, unless that
// has fewer than two more than the account of the new request. Classes do not displace each other: a
// less urgent one would lose its places before it is owed service.
func (k *ranked) displaced(r *queuedRequest) *queuedRequest {
	places := make(map[string]int)
	for _, other := range k.requests {
		places[other.request.Account]++
	}
	var last *queuedRequest
	for _, other := range k.requests {
		if last == nil || places[other.request.Account] >= places[last.request.Account] {
			last = other
		}
	}
	if last == nil || places[last.request.Account] <= places[r.request.Account]+1 {
		return nil
	}
	return last
}
