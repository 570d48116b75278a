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
	// Incarnation is greater for each start of the host.
	Incarnation uint64
	Zone        zone.ID
	// Address serves callers, "ip:port".
	Address string
	// FleetAddress serves the other hosts, "ip:port".
	FleetAddress string
	// APIAddress serves the caller directory and operators, "ip:port".
	APIAddress string
	// Leaving is set while the host shuts down.
	Leaving bool
}

// PeerState is what this host believes of another.
type PeerState int

// The states of a peer.
const (
	// PeerAlive peers were heard of lately.
	PeerAlive PeerState = iota
	// PeerSuspect peers missed heartbeats.
	PeerSuspect
	// PeerGone peers are taken to be dead.
	PeerGone
)

// Peer is another host of the fleet as this host sees it.
type Peer struct {
	Identity Identity
	State    PeerState
	Revision uint64
	// Heard is when a message of the peer was last received.
	Heard time.Time
}

// Timing holds the periods and timeouts of a host.
type Timing struct {
	// Heartbeat is the time between two heartbeats to one peer.
	Heartbeat time.Duration
	// SuspectAfter is the silence after which a peer is suspected.
	SuspectAfter time.Duration
	// GoneAfter is the silence after which a peer is taken to be dead.
	GoneAfter time.Duration
	// Poll is the mean time between two reads of the table's revision.
	Poll time.Duration
	// StaleAfter is the time without news from store and peers after which
	// the host leaves the directory.
	StaleAfter time.Duration
	// HostListPoll is the time between two reads of the host list.
	HostListPoll time.Duration
}

// DefaultTiming returns the timing for a fleet of tens of hosts.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:    time.Second,
		SuspectAfter: 3 * time.Second,
		GoneAfter:    10 * time.Second,
		Poll:         2 * time.Second,
		StaleAfter:   30 * time.Second,
		HostListPoll: 5 * time.Second,
	}
}
