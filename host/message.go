package host

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/timeline"
)

// Limits on the updates about hosts that messages carry.
const (
	// maxUpdates bounds the updates in one message, and so the bytes a second.
	maxUpdates = 8
	// updateRepeats times the number of decimal digits of the number of hosts
	// is how often one host passes an update on.
	updateRepeats = 4
	// introductionTime is how long after an incarnation joined the others tell
	// of it in full, with its zone and addresses; a quarter of the bytes do
	// for those who know it. It is as long as every host takes to ping every
	// other once at 900 hosts.
	introductionTime = 15 * time.Minute
)

// Message is what every ping, answer and comparison carries.
type Message struct {
	From Identity
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// Ready is set when the sender knows the configuration.
	Ready bool
	Stamp timeline.Stamp
	// Updates are news of other hosts, at most maxUpdates.
	Updates []Update
	// Digest is equal for two hosts that know the same hosts.
	Digest uint64
}

// queued is an update with the number of messages that carried it.
type queued struct {
	update Update
	sent   int
}

// updateQueue holds the updates to pass on, at most one for each host.
type updateQueue []queued

// add queues an update in place of an older one about the same host.
func (q *updateQueue) add(u Update) {
	*q = slices.DeleteFunc(*q, func(e queued) bool { return e.update.Identity.ID == u.Identity.ID })
	*q = append(*q, queued{update: u})
}

// take returns the updates for one message, those sent least first, and drops
// those that have been sent often enough.
func (q *updateQueue) take(repeats int) []Update {
	slices.SortStableFunc(*q, func(a, b queued) int { return a.sent - b.sent })
	n := min(maxUpdates, len(*q))
	out := make([]Update, n)
	for i := range n {
		out[i] = (*q)[i].update
		(*q)[i].sent++
	}
	*q = slices.DeleteFunc(*q, func(e queued) bool { return e.sent >= repeats })
	return out
}

// repeatsFor returns how often an update is passed on among so many hosts.
func repeatsFor(hosts int) int {
	digits := 1
	for ; hosts >= 10; hosts /= 10 {
		digits++
	}
	return updateRepeats * digits
}

// Message builds the message for a peer. One that this host believes to be
// suspect or gone is told so first, so that it can refute.
func (c *Core) Message(now time.Time, to ID) Message {
	m := Message{
		From:     c.self,
		Revision: c.revision,
		Ready:    c.ready,
		Stamp:    c.clock.Now(now),
		Digest:   c.memberDigest(),
	}
	if p := c.peers[to]; p != nil && p.State != PeerAlive {
		m.Updates = append(m.Updates, Update{Identity: p.Identity, State: p.State})
	}
	m.Updates = append(m.Updates, c.updates.take(repeatsFor(len(c.peers)+1))...)
	for i, u := range m.Updates {
		if c.introduced(now, u.Identity) {
			m.Updates[i].Identity = u.Identity.brief()
		}
	}
	return m
}

// introduced reports whether a host has been known for so long that other hosts
// know it too.
func (c *Core) introduced(now time.Time, id Identity) bool {
	p := c.peers[id.ID]
	return p != nil && now.Sub(p.joined) >= introductionTime
}

// memberDigest combines what this host knows of all hosts that are not gone,
// in any order.
func (c *Core) memberDigest() uint64 {
	return c.countPeers().digest ^ identityDigest(hashID(c.self.ID), c.self)
}

func identityDigest(hash uint64, id Identity) uint64 {
	return mix(hash ^ mix(id.Incarnation) ^ mix(uint64(id.Sequence)+1))
}
