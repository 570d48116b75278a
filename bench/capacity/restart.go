package main

import (
	"time"

	"github.com/crocushinge/crocushinge/host"
)

// Times of the steps of a restart, from its beginning.
const (
	restartStopped = 30 * time.Second
	restartStarted = 35 * time.Second
	restartReady   = 37 * time.Second
)

// restartStep is a step of the restart of one host.
type restartStep struct {
	at   time.Time
	host int
	// update changes the host's identity.
	update func(*host.Identity)
	// stopped is set for the step in which the host announces that it stops.
	stopped bool
}

// planRestarts plans restarts at the mean daily rate for the given length. No
// host is restarted twice. Simulated peers and hosts that become unreachable in
// the scenario are not restarted.
func (f *fleetSimulation) planRestarts(length time.Duration) {
	interval := secondsPerDay * time.Second / time.Duration(f.size.Restarts)
	i := f.size.Hosts / 2
	for at := time.Duration(0); at < length; at += interval {
		for i++; f.scenario.unreachable(f.size, i%f.size.Hosts); i++ {
		}
		f.planRestart(f.now.Add(at), i%f.size.Hosts)
	}
}

func (f *fleetSimulation) planRestart(begin time.Time, i int) {
	f.restarts = append(f.restarts,
		restartStep{at: begin, host: i, update: func(id *host.Identity) { id.Leaving = true }},
		restartStep{at: begin.Add(restartStopped), host: i, stopped: true},
		restartStep{at: begin.Add(restartStarted), host: i, update: func(id *host.Identity) {
			id.Incarnation, id.Sequence = uint64(begin.Add(restartStarted).UnixMilli()), 0
			id.Leaving, id.Sick = false, true
		}},
		restartStep{at: begin.Add(restartReady), host: i, update: func(id *host.Identity) { id.Sick = false }},
	)
}

// runRestartSteps executes the restart steps that are due.
func (f *fleetSimulation) runRestartSteps() {
	var pending []restartStep
	for _, step := range f.restarts {
		if f.now.Before(step.at) {
			pending = append(pending, step)
			continue
		}
		id := f.trace.identity(f.size, step.host, f.now)
		if step.stopped {
			f.announce(step.host, id, []host.Update{{Identity: id, State: host.PeerGone}})
			continue
		}
		id.Sequence++
		step.update(&id)
		f.announce(step.host, id, nil)
	}
	f.restarts = pending
}
