package fleettest

import (
	"math/rand/v2"
	"time"
)

// direction is the path of bytes from one node to another.
type direction struct{ from, to string }

func (d direction) reverse() direction { return direction{from: d.to, to: d.from} }

// faults holds the faults that are active in the network.
type faults struct {
	rng      *rand.Rand
	maxDelay time.Duration
	cuts     map[direction]bool
	paused   map[string]bool
	killed   map[string]bool
}

func newFaults(rng *rand.Rand) faults {
	return faults{
		rng:    rng,
		cuts:   make(map[direction]bool),
		paused: make(map[string]bool),
		killed: make(map[string]bool),
	}
}

// delay returns a random delay for the next bytes, between half of maxDelay and
// maxDelay.
func (f *faults) delay(direction) time.Duration {
	if f.maxDelay == 0 {
		return 0
	}
	return f.maxDelay/2 + time.Duration(f.rng.Int64N(int64(f.maxDelay/2)))
}

// blocks reports whether bytes in a direction are held by a cut or a pause.
func (f *faults) blocks(d direction) bool {
	return f.cuts[d] || f.paused[d.from] || f.paused[d.to]
}

// updateFaults changes the faults and wakes the goroutines that wait for a change.
func (n *Network) updateFaults(apply func(*faults)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply(&n.faults)
	close(n.faultsChanged)
	n.faultsChanged = make(chan struct{})
}

// Delay delays all bytes by a random time between half of the maximum and the
// maximum.
func (n *Network) Delay(maximum time.Duration) {
	n.updateFaults(func(f *faults) { f.maxDelay = maximum })
}

// Cut holds all bytes from one node to another until Heal. The opposite
// direction still works.
func (n *Network) Cut(from, to string) {
	n.updateFaults(func(f *faults) { f.cuts[direction{from, to}] = true })
}

// Heal removes a cut.
func (n *Network) Heal(from, to string) {
	n.updateFaults(func(f *faults) { delete(f.cuts, direction{from, to}) })
}

// HealAll removes all cuts.
func (n *Network) HealAll() {
	n.updateFaults(func(f *faults) { clear(f.cuts) })
}

// Pause holds all bytes from and to a node until Resume. The node keeps
// computing, and its timers expire meanwhile.
func (n *Network) Pause(node string) {
	n.updateFaults(func(f *faults) { f.paused[node] = true })
}

// Resume ends a pause.
func (n *Network) Resume(node string) {
	n.updateFaults(func(f *faults) { delete(f.paused, node) })
}

// Kill closes all connections of a node and refuses new ones.
func (n *Network) Kill(node string) {
	n.updateFaults(func(f *faults) { f.killed[node] = true })
	for _, c := range n.connsOf(node) {
		_ = c.Close()
	}
}

// Revive lets a new process take over a node that was killed.
func (n *Network) Revive(node string) {
	n.updateFaults(func(f *faults) { delete(f.killed, node) })
}

// isKilled reports whether a node was killed and not revived.
func (n *Network) isKilled(node string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.killed[node]
}

// isBlocked reports whether bytes from one node to another are held, or one of
// the two is killed.
func (n *Network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.blocks(direction{from, to}) || n.faults.killed[from] || n.faults.killed[to]
}

// connsOf returns the open connections from and to a node.
func (n *Network) connsOf(node string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*conn
	for c := range n.conns {
		if c.outbound.from == node || c.outbound.to == node {
			out = append(out, c)
		}
	}
	return out
}
