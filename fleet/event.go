package fleet

import (
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/timeline"
)

// Event is something that happened to the host.
type Event interface{ isEvent() }

type (
	// Tick lets time pass. The control thread sends one at the time that Wake
	// returns.
	Tick struct{}

	// Observed carries the ends of this host's requests.
	Observed struct{ Observations []Observation }

	// Started tells that requests of this host have begun.
	Started struct{}

	// Heard is a datagram from another host.
	Heard struct{ Datagram Datagram }

	// TargetsRead is the answer to ReadTargets.
	TargetsRead struct {
		Targets *discovery.Targets
		Err     error
	}

	// ConfigurationRead is the answer to ReadConfiguration.
	ConfigurationRead struct {
		// Document is nil when there is nothing newer.
		Document *Document
		// At is the store's clock in milliseconds.
		At  int64
		Err error
	}

	// PeersRead is the answer to ReadPeers.
	PeersRead struct {
		Peers []Peer
		Err   error
	}

	// Registered is the answer to Register.
	Registered struct{ Err error }

	// Fetched is the answer to Fetch.
	Fetched struct {
		Peers    []Peer
		Targets  *discovery.Targets
		Document *Document
		// TargetsStamp and DocumentStamp are those of the peer.
		TargetsStamp, DocumentStamp Stamp
		Err                         error
	}

	// SettingsChanged puts changed settings in force.
	SettingsChanged struct {
		Timing Timing
		Floor  float64
		Seeds  []string
	}

	// ShutdownRequested asks the host to leave.
	ShutdownRequested struct{}
)

func (Tick) isEvent()              {}
func (Observed) isEvent()          {}
func (Started) isEvent()           {}
func (Heard) isEvent()             {}
func (TargetsRead) isEvent()       {}
func (ConfigurationRead) isEvent() {}
func (PeersRead) isEvent()         {}
func (Registered) isEvent()        {}
func (Fetched) isEvent()           {}
func (SettingsChanged) isEvent()   {}
func (ShutdownRequested) isEvent() {}

// Document is a configuration as read from the store.
type Document struct {
	// Bytes is the document as the operator wrote it, for other hosts.
	Bytes         []byte
	Configuration *discovery.Configuration
}

// Observation is the end of a request of this host.
type Observation struct {
	Target  *pool.Target
	Outcome link.Outcome
	Latency time.Duration
}

// Effect is something that the control thread must carry out. Its answer, if
// any, comes back as an event.
type Effect interface{ isEffect() }

type (
	// Publish replaces the snapshot that traffic reads.
	Publish struct{ Snapshot *Snapshot }

	// Send sends a datagram to each of the addresses.
	Send struct {
		To       []string
		Datagram Datagram
	}

	// ReadTargets waits up to Wait for a change of the registered targets in
	// the store.
	ReadTargets struct{ Wait time.Duration }

	// ReadConfiguration waits up to Wait for a change of the configuration in
	// the store.
	ReadConfiguration struct{ Wait time.Duration }

	// ReadPeers reads the registered hosts from the store.
	ReadPeers struct{}

	// Register writes this host's row to the store.
	Register struct{ Peer Peer }

	// RemovePeer drops the row of a host that is gone from the store. It has no answer:
	// a row that stays is dropped by the next host that forgets it.
	RemovePeer struct{ ID ID }

	// Fetch asks a peer for documents.
	Fetch struct {
		From                          string
		Peers, Targets, Configuration bool
	}

	// Record adds an event to the time line.
	Record struct{ Event timeline.Event }
)

func (Publish) isEffect()           {}
func (Send) isEffect()              {}
func (ReadTargets) isEffect()       {}
func (ReadConfiguration) isEffect() {}
func (ReadPeers) isEffect()         {}
func (Register) isEffect()          {}
func (RemovePeer) isEffect()        {}
func (Fetch) isEffect()             {}
func (Record) isEffect()            {}
