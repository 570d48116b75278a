package host

import (
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// ID identifies a host. A replaced host gets a new ID or a new incarnation.
type ID string

// Identity describes one incarnation of a host, as that host reports it.
type Identity struct {
	ID ID
	// Incarnation increases with each start of the host and is part of its
	// request IDs. A pause of the process does not change it: the in-memory
	// state that prevents a request from running twice is kept during the
	// pause.
	Incarnation uint64
	// Sequence is the version of the identity within the incarnation. The host
	// increases it when its identity changes, and to refute that it is suspect
	// or gone.
	Sequence uint32
	Zone     zone.ID
	// Address accepts requests of callers, "ip:port".
	Address string
	// FleetAddress accepts calls of the other hosts, "ip:port".
	FleetAddress string
	// APIAddress accepts directory requests of callers and requests of
	// operators, "ip:port".
	APIAddress string
	// Leaving is set while the host shuts down.
	Leaving bool
	// Sick is set while the host suspects itself, or while it does not know the
	// configuration or has a stale one. Callers are not directed to it.
	Sick bool
}

// compact returns the identity without the fields that are constant within an
// incarnation. Only hosts that know the incarnation can use it.
func (id Identity) compact() Identity {
	return Identity{ID: id.ID, Incarnation: id.Incarnation, Sequence: id.Sequence, Leaving: id.Leaving, Sick: id.Sick}
}

// isCompact reports whether the identity has no addresses, as compact returns
// it.
func (id Identity) isCompact() bool { return id.Address == "" && id.FleetAddress == "" }

// completedBy returns the identity with the fields that compact omits. They are
// taken from full, which must be of the same incarnation.
func (id Identity) completedBy(full Identity) Identity {
	full.Sequence, full.Leaving, full.Sick = id.Sequence, id.Leaving, id.Sick
	return full
}

// newerThan reports whether id is a later version than other.
func (id Identity) newerThan(other Identity) bool {
	if id.Incarnation != other.Incarnation {
		return id.Incarnation > other.Incarnation
	}
	return id.Sequence > other.Sequence
}

// PeerState is the state of another host in this host's view.
type PeerState int

// The states of a peer. Of two updates with the same incarnation and sequence,
// the one with the greater state wins.
const (
	// PeerAlive peers responded recently to this host or to another one.
	PeerAlive PeerState = iota
	// PeerSuspect peers responded neither to a direct ping nor to indirect
	// ones.
	PeerSuspect
	// PeerGone peers have left, or did not refute the suspicion in time.
	PeerGone
)

var peerStateNames = [...]string{"alive", "suspect", "gone"}

// String returns the lower-case name of the state.
func (s PeerState) String() string { return peerStateNames[s] }

// Peer is another host of the fleet in this host's view.
type Peer struct {
	Identity Identity
	State    PeerState
	// Unreachable is set while the peer responds to others but not to this
	// host: the path between the two is broken, not the peer.
	Unreachable bool

	// joinedAt is when this host learned of the incarnation, and stateSince
	// when the peer entered its state.
	joinedAt, stateSince time.Time
	// suspicionDeadline is when a suspect peer is declared gone.
	suspicionDeadline time.Time
	idHash            uint64
}

// Usable reports whether callers and other hosts may be directed to the peer.
func (p *Peer) Usable() bool {
	return p.State == PeerAlive && !p.Identity.Leaving && !p.Identity.Sick
}

// Update is the identity and state of one host, as hosts send it to each other.
type Update struct {
	Identity Identity
	State    PeerState
}
