package fleet

import "time"

// A relay passes on most reports that say nothing new as a beat: a report with no more than
// the host in it, and sequence 0. In a fleet with little traffic for each host these are
// almost all, and each goes to every host.

// Bounds of beats.
const (
	// beatsInARow is how many reports of a host are passed on as beats before a whole one
	// makes good what a lost datagram may have left wrong: a second's.
	beatsInARow = 4
	// stampStep is how much later a copy must have been confirmed than the latest one that
	// was passed on, so that the report is passed on whole. Other hosts learn from these
	// how old their views are.
	stampStep = 100 * time.Millisecond
)

// isBeat reports whether a report only says that its host is there.
func (r Report) isBeat() bool { return r.Sequence == 0 }

// beat returns the report without what is known.
func (r Report) beat() Report { return Report{Host: r.Host} }

// passed is what a relay has passed on.
type passed struct {
	// whole is the latest report of each host that was passed on whole, and beats how many
	// were passed on as beats since.
	whole map[Hash]Report
	beats map[Hash]int
	// targets and configuration are when the copies were confirmed that all know of, by
	// the store's clock.
	targets, configuration int64
}

func newPassed() passed { return passed{whole: make(map[Hash]Report), beats: make(map[Hash]int)} }

// shorten returns what is passed on of a report.
func (p *passed) shorten(r Report) Report {
	if r.isBeat() {
		return r
	}
	if p.saysNothingNew(r) && p.beats[r.Host] < beatsInARow {
		p.beats[r.Host]++
		return r.beat()
	}
	p.beats[r.Host] = 0
	p.whole[r.Host] = Report{
		Incarnation: r.Incarnation, Ready: r.Ready, Leaving: r.Leaving, Loads: r.Loads,
		Targets: r.Targets, Configuration: r.Configuration,
	}
	p.targets = max(p.targets, r.Targets.Confirmed)
	p.configuration = max(p.configuration, r.Configuration.Confirmed)
	return r
}

// saysNothingNew reports whether a report repeats the latest whole one.
func (p *passed) saysNothingNew(r Report) bool {
	last, ok := p.whole[r.Host]
	step := stampStep.Milliseconds()
	return ok && last.Incarnation == r.Incarnation && last.Ready == r.Ready && last.Leaving == r.Leaving &&
		len(r.Endings) == 0 && len(r.Loads) == 0 && len(last.Loads) == 0 &&
		last.Targets.Digest == r.Targets.Digest && last.Configuration.Revision == r.Configuration.Revision &&
		r.Targets.Confirmed < p.targets+step && r.Configuration.Confirmed < p.configuration+step
}

// takeBeat notes that a host is there. One that was lost must say more.
func (c *Core) takeBeat(now time.Time, p *peerState) bool {
	if !p.alive || !p.known {
		return false
	}
	p.heard = now
	return true
}
