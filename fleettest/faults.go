package fleettest

import (
	"math/rand/v2"
	"time"
)

// way is the direction from one place to another.
type way struct{ from, to string }

func (w way) back() way { return way{from: w.to, to: w.from} }

// faults says what is wrong with the network now.
type faults struct {
	rng    *rand.Rand
	latest time.Duration
	cuts   map[way]bool
	paused map[string]bool
	dead   map[string]bool
}

func newFaults(rng *rand.Rand) faults {
	return faults{
		rng:    rng,
		cuts:   make(map[way]bool),
		paused: make(map[string]bool),
		dead:   make(map[string]bool),
	}
}

// delay returns the time that the next bytes take.
func (f *faults) delay(way) time.Duration {
	if f.latest == 0 {
		return 0
	}
	return f.latest/2 + time.Duration(f.rng.Int64N(int64(f.latest/2)))
}

func (f *faults) blocks(w way) bool {
	return f.cuts[w] || f.paused[w.from] || f.paused[w.to]
}

// change applies a change to the faults and wakes what waits for one.
func (n *Network) change(apply func(*faults)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply(&n.faults)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Delay makes all bytes take between half the given time and all of it.
func (n *Network) Delay(latest time.Duration) {
	n.change(func(f *faults) { f.latest = latest })
}

// Cut holds what goes from one place to another until Heal. The other
// direction still works.
func (n *Network) Cut(from, to string) {
	n.change(func(f *faults) { f.cuts[way{from, to}] = true })
}

// Heal ends a cut.
func (n *Network) Heal(from, to string) {
	n.change(func(f *faults) { delete(f.cuts, way{from, to}) })
}

// HealAll ends all cuts.
func (n *Network) HealAll() {
	n.change(func(f *faults) { clear(f.cuts) })
}

// Pause holds everything from and to a place until Resume. The place goes on
// computing; its timers run out meanwhile.
func (n *Network) Pause(place string) {
	n.change(func(f *faults) { f.paused[place] = true })
}

// Resume ends a pause.
func (n *Network) Resume(place string) {
	n.change(func(f *faults) { delete(f.paused, place) })
}

// Kill ends all connections of a place and refuses new ones.
func (n *Network) Kill(place string) {
	n.change(func(f *faults) { f.dead[place] = true })
	for _, c := range n.connsOf(place) {
		_ = c.Close()
	}
}

// Revive lets a new process take a place that was killed.
func (n *Network) Revive(place string) {
	n.change(func(f *faults) { delete(f.dead, place) })
}

func (n *Network) dead(place string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.dead[place]
}

// blocked reports whether a way is cut, or one of its ends paused or dead.
func (n *Network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.blocks(way{from, to}) || n.faults.dead[from] || n.faults.dead[to]
}

func (n *Network) connsOf(place string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*conn
	for c := range n.conns {
		if c.out.from == place || c.out.to == place {
			out = append(out, c)
		}
	}
	return out
}
