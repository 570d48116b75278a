package host

import (
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/timeline"
)

// Limits on the updates about hosts in messages.
const (
	// maxUpdates bounds the updates in one message, and with it the bytes per
	// second.
	maxUpdates = 8
	// retransmitFactor determines how many times a host sends an update: this
	// factor times the number of decimal digits of the number of hosts.
	retransmitFactor = 4
	// fullIdentityTime is the time after an incarnation joined during which
	// updates about it carry the full identity, with zone and addresses. Later
	// updates are compact and take a quarter of the bytes. In a fleet of 900
	// hosts, a host pings every other host once in this time.
	fullIdentityTime = 15 * time.Minute
)

// Message is the content of every ping, sync and response between hosts.
type Message struct {
	From Identity
	// Revision is the configuration revision in force on the sender, and History the history of
	// the table that it belongs to.
	Revision uint64
	History  history.ID
	// Kept is the number of documents in force on the sender that the table has lost in a restore.
	Kept int
	// Ready is set when the sender knows the configuration.
	Ready bool
	Stamp timeline.Stamp
	// Updates are changes of hosts: at most maxUpdates, and one more if the
	// sender takes the recipient to be suspect or gone.
	Updates []Update
	// Digest is equal on two hosts that have the same view of the members.
	Digest uint64
}

// queuedUpdate is an update with the number of messages that carried it.
type queuedUpdate struct {
	update Update
	sent   int
}

// updateQueue holds the updates to pass on to other hosts, at most one per
// host.
type updateQueue []queuedUpdate

// add queues an update and removes an older one about the same host.
func (q *updateQueue) add(u Update) {
	*q = slices.DeleteFunc(*q, func(e queuedUpdate) bool { return e.update.Identity.ID == u.Identity.ID })
	*q = append(*q, queuedUpdate{update: u})
}

// take returns the updates for one message, those that were sent least often
// first. It removes updates that have been sent limit times.
func (q *updateQueue) take(limit int) []Update {
	slices.SortStableFunc(*q, func(a, b queuedUpdate) int { return a.sent - b.sent })
	n := min(maxUpdates, len(*q))
	out := make([]Update, n)
	for i := range n {
		out[i] = (*q)[i].update
		(*q)[i].sent++
	}
	*q = slices.DeleteFunc(*q, func(e queuedUpdate) bool { return e.sent >= limit })
	return out
}

// retransmitLimit returns how many times an update is sent in a fleet of the
// given size.
func retransmitLimit(hosts int) int {
	digits := 1
	for ; hosts >= 10; hosts /= 10 {
		digits++
	}
	return retransmitFactor * digits
}

// Message builds the message for a peer. If this host takes the peer to be
// suspect or gone, the first update says so, so that the peer can refute it.
func (c *Core) Message(now time.Time, to ID) Message {
	m := Message{
		From:     c.self,
		Revision: c.revision,
		History:  c.history,
		Kept:     len(c.kept),
		Ready:    c.ready,
		Stamp:    c.clock.Now(now),
		Digest:   c.memberDigest(),
	}
	if p := c.peers[to]; p != nil && p.State != PeerAlive {
		m.Updates = append(m.Updates, Update{Identity: p.Identity, State: p.State})
	}
	m.Updates = append(m.Updates, c.updates.take(retransmitLimit(len(c.peers)+1))...)
	for i, u := range m.Updates {
		if c.fullIdentityKnown(now, u.Identity) {
			m.Updates[i].Identity = u.Identity.compact()
		}
	}
	return m
}

// fullIdentityKnown reports whether a host joined so long ago that the other
// hosts know its full identity.
func (c *Core) fullIdentityKnown(now time.Time, id Identity) bool {
	p := c.peers[id.ID]
	return p != nil && now.Sub(p.joinedAt) >= fullIdentityTime
}

// memberDigest combines the identities of all hosts that are not gone,
// independent of their order.
func (c *Core) memberDigest() uint64 {
	return c.summarizePeers().digest ^ identityDigest(hashID(c.self.ID), c.self)
}

func identityDigest(hash uint64, id Identity) uint64 {
	return mix(hash ^ mix(id.Incarnation) ^ mix(uint64(id.Sequence)+1))
}
