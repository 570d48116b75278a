package main

import (
	"time"

	"github.com/crocushinge/crocushinge/host"
)

// Times of a restart, from its beginning.
const (
	restartGone  = 30 * time.Second
	restartBack  = 35 * time.Second
	restartReady = 37 * time.Second
)

// restartStep is a step of the restart of one host.
type restartStep struct {
	at time.Time
	i  int
	// become turns the host's identity into the next one.
	become func(*host.Identity)
	// gone is set when the host tells that it has finished.
	gone bool
}

// planRestarts spreads the restarts of a day over the time to come. The same
// hosts are not restarted twice, and those that are lost in the course of the
// day, or stand in for others, not at all.
func (f *fleet) planRestarts(length time.Duration) {
	interval := secondsPerDay * time.Second / time.Duration(f.size.Restarts)
	i := f.size.Hosts / 2
	for at := time.Duration(0); at < length; at += interval {
		for i++; f.day.away(f.size, i%f.size.Hosts); i++ {
		}
		f.planRestart(f.now.Add(at), i%f.size.Hosts)
	}
}

func (f *fleet) planRestart(begin time.Time, i int) {
	f.restarts = append(f.restarts,
		restartStep{at: begin, i: i, become: func(id *host.Identity) { id.Leaving = true }},
		restartStep{at: begin.Add(restartGone), i: i, gone: true},
		restartStep{at: begin.Add(restartBack), i: i, become: func(id *host.Identity) {
			id.Incarnation, id.Sequence = uint64(begin.Add(restartBack).UnixMilli()), 0
			id.Leaving, id.Sick = false, true
		}},
		restartStep{at: begin.Add(restartReady), i: i, become: func(id *host.Identity) { id.Sick = false }},
	)
}

// restart lets the steps happen that are due.
func (f *fleet) restart() {
	var later []restartStep
	for _, step := range f.restarts {
		if f.now.Before(step.at) {
			later = append(later, step)
			continue
		}
		id := f.news.identity(f.size, step.i, f.now)
		if step.gone {
			f.tell(step.i, id, []host.Update{{Identity: id, State: host.PeerGone}})
			continue
		}
		id.Sequence++
		step.become(&id)
		f.tell(step.i, id, nil)
	}
	f.restarts = later
}
