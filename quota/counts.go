package quota

import (
	"time"

	"github.com/crocushinge/crocushinge/caller"
)

// Count is how many requests of an account a host has admitted.
type Count struct {
	Account caller.AccountHash
	// Total counts all of them since the host started, without those that were returned. It wraps
	// around.
	Total uint32
	// Recent is the part of Total that the report before the last few ones did not state. A host
	// that does not know an earlier Total counts these.
	Recent int32
}

// Merge returns the counts of a report and of a later one of the same host.
func Merge(earlier, later []Count) []Count {
	if len(earlier) == 0 {
		return later
	}
	index := make(map[caller.AccountHash]int, len(earlier)+len(later))
	out := make([]Count, 0, len(earlier)+len(later))
	for _, c := range earlier {
		index[c.Account] = len(out)
		out = append(out, c)
	}
	for _, c := range later {
		i, ok := index[c.Account]
		if !ok {
			out = append(out, c)
			continue
		}
		// Recent goes back to where that of the earlier report begins.
		begin := out[i].Total - uint32(out[i].Recent)
		out[i].Total, out[i].Recent = c.Total, int32(c.Total-begin)
	}
	return out
}

const (
	// mentions is in how many reports a count is stated. With a third of the reports lost, one
	// count in 81 is lost in all of them; without repetition the accounts with few requests would
	// be served half as much again.
	mentions = 4
	// maxCounts is the number of counts in one report, which must fit in a datagram.
	maxCounts = 80
)

// ownCount is how many requests of an account this host has admitted.
type ownCount struct {
	account caller.AccountHash
	total   uint32
	// stated are the totals in the latest reports, newest first.
	stated [mentions]uint32
	// queued is set while the count is to be stated.
	queued bool
}

// ownCounts are the counts of this host. They outlive the buckets, since the totals must not fall
// back to zero.
type ownCounts struct {
	byAccount map[caller.AccountHash]*ownCount
	// queue are those to be stated.
	queue []*ownCount
}

func (o *ownCounts) add(account caller.AccountHash, requests int) {
	c := o.byAccount[account]
	if c == nil {
		c = &ownCount{account: account}
		o.byAccount[account] = c
	}
	c.total += uint32(requests)
	if !c.queued {
		c.queued = true
		o.queue = append(o.queue, c)
	}
}

// next returns the counts for a report.
func (o *ownCounts) next() []Count {
	n := min(len(o.queue), maxCounts)
	if n == 0 {
		return nil
	}
	out := make([]Count, 0, n)
	rest := append([]*ownCount(nil), o.queue[n:]...)
	for _, c := range o.queue[:n] {
		out = append(out, Count{Account: c.account, Total: c.total, Recent: int32(c.total - c.stated[mentions-1])})
		copy(c.stated[1:], c.stated[:mentions-1])
		c.stated[0] = c.total
		if c.queued = c.stated[mentions-1] != c.total; c.queued {
			rest = append(rest, c)
		}
	}
	o.queue = rest
	return out
}

const (
	// firstReports is the sequence number up to which a report shows that its host started a
	// moment ago: reports are sent every 200 ms or more often.
	firstReports = 50
	// startMemory is how long all requests of a host that was seen starting count, whether or not
	// its earlier reports have arrived.
	startMemory = 10 * time.Second
	// totalMemory is how long the total of an account without requests is remembered. A count is
	// stated for at most a second after the last request.
	totalMemory = 2 * time.Second
	// maxRequests limits the requests of one count, so that a faulty host cannot overflow the sums.
	maxRequests = 1 << 20
)

// PeerCounts follows the counts of another host, and takes what is new in them from the buckets of
// a table. The zero value has heard nothing. The control thread owns it.
type PeerCounts struct {
	incarnation uint64
	sequence    uint32
	// countsAll is until when an account that was not mentioned before counts with its total: the
	// host was seen starting.
	countsAll time.Time
	totals    map[caller.AccountHash]peerTotal
	nextSweep time.Time
}

// peerTotal is the latest total of an account, and when it was received.
type peerTotal struct {
	total uint32
	at    time.Time
}

// Receive takes the requests of a report that were not in earlier ones. A report that arrives
// again, or after a later one, counts nothing.
func (p *PeerCounts) Receive(t *Table, incarnation uint64, sequence uint32, counts []Count, now time.Time) {
	if t == nil || incarnation < p.incarnation || incarnation == p.incarnation && sequence <= p.sequence {
		return
	}
	if incarnation != p.incarnation {
		*p = PeerCounts{incarnation: incarnation}
		if sequence <= firstReports {
			p.countsAll = now.Add(startMemory)
		}
	}
	p.sequence = sequence
	for _, c := range counts {
		if requests := p.advance(c, now); requests != 0 {
			t.CountOthers(c.Account, max(-maxRequests, min(requests, maxRequests)), now)
		}
	}
	p.sweep(now)
}

// advance returns the requests of a count that are new.
func (p *PeerCounts) advance(c Count, now time.Time) int {
	if p.totals == nil {
		p.totals = make(map[caller.AccountHash]peerTotal)
	}
	last, known := p.totals[c.Account]
	p.totals[c.Account] = peerTotal{total: c.Total, at: now}
	switch {
	case known:
		return int(int32(c.Total - last.total))
	case now.Before(p.countsAll):
		return int(int32(c.Total))
	default:
		return int(c.Recent)
	}
}

// Forget is called when this host has not heard the other one for a while, or has not run itself.
// What the other one admitted in that time was within its own share, or is too old to count.
func (p *PeerCounts) Forget() { p.totals, p.countsAll = nil, time.Time{} }

func (p *PeerCounts) sweep(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(totalMemory)
	for account, last := range p.totals {
		if now.Sub(last.at) > totalMemory {
			delete(p.totals, account)
		}
	}
}
