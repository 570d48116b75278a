package host

import (
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// ID names a host. A replaced host gets a new ID or a new incarnation.
type ID string

// Identity is what one incarnation of a host tells of itself.
type Identity struct {
	ID ID
	// Incarnation is greater for each start of the host. Request ids name it.
	// A pause does not change it, because the memory that keeps a request from
	// running twice outlives the pause.
	Incarnation uint64
	// Sequence counts what this incarnation has told of itself. The host
	// raises it to refute that it is suspected or gone.
	Sequence uint32
	Zone     zone.ID
	// Address serves callers, "ip:port".
	Address string
	// FleetAddress serves the other hosts, "ip:port".
	FleetAddress string
	// APIAddress serves the caller directory and operators, "ip:port".
	APIAddress string
	// Leaving is set while the host shuts down.
	Leaving bool
	// Sick is set while the host doubts itself or does not know the
	// configuration yet; callers are not sent to it.
	Sick bool
}

// brief returns the identity without what does not change while the incarnation
// lives. It is of use only to those who know the incarnation.
func (id Identity) brief() Identity {
	return Identity{ID: id.ID, Incarnation: id.Incarnation, Sequence: id.Sequence, Leaving: id.Leaving, Sick: id.Sick}
}

// isBrief reports whether only the brief identity was told.
func (id Identity) isBrief() bool { return id.Address == "" && id.FleetAddress == "" }

// completedBy returns a brief identity with the rest of a full one of the same
// incarnation.
func (id Identity) completedBy(full Identity) Identity {
	full.Sequence, full.Leaving, full.Sick = id.Sequence, id.Leaving, id.Sick
	return full
}

// newerThan reports whether id tells something later than other does.
func (id Identity) newerThan(other Identity) bool {
	if id.Incarnation != other.Incarnation {
		return id.Incarnation > other.Incarnation
	}
	return id.Sequence > other.Sequence
}

// PeerState is what this host believes of another.
type PeerState int

// The states of a peer, in the order in which one overrides another that was
// told of the same sequence.
const (
	// PeerAlive peers answered this host or another one lately.
	PeerAlive PeerState = iota
	// PeerSuspect peers answered neither directly nor through others.
	PeerSuspect
	// PeerGone peers did not refute the suspicion in time.
	PeerGone
)

var peerStateNames = [...]string{"alive", "suspect", "gone"}

// String returns the state's lower-case name.
func (s PeerState) String() string { return peerStateNames[s] }

// Peer is another host of the fleet as this host sees it.
type Peer struct {
	Identity Identity
	State    PeerState
	// Unreachable is set while the peer answers others but not this host: the
	// path from here to there is broken, not the peer.
	Unreachable bool

	// joined is when this host learned of the incarnation, and since when the
	// state began.
	joined, since time.Time
	// goneAt is when a suspected peer is taken to be gone.
	goneAt time.Time
	hash   uint64
}

// Usable reports whether callers and other hosts may be sent to the peer.
func (p *Peer) Usable() bool {
	return p.State == PeerAlive && !p.Identity.Leaving && !p.Identity.Sick
}

// Update is what one host tells another of a third.
type Update struct {
	Identity Identity
	State    PeerState
}
