package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/timeline"
)

// Event is an input of the core.
type Event interface{ isEvent() }

type (
	// Tick triggers periodic work. The control thread sends one at the time that NextTick
	// returns.
	Tick struct {
		// Suspended is how long the machine was suspended since the last tick. The steady
		// clock does not count that time.
		Suspended time.Duration
	}

	// Observed carries the ends of this host's requests.
	Observed struct{ Observations []Observation }

	// NoticeReceived says that a response has changed what is known of its target from its
	// own words, or has confirmed it after a while.
	NoticeReceived struct{ Target *pool.Target }

	// RequestsStarted says that requests of this host have begun.
	RequestsStarted struct{}

	// DatagramReceived carries a datagram received from another host.
	DatagramReceived struct{ Datagram Datagram }

	// TargetsRead is the result of ReadTargets.
	TargetsRead struct {
		Targets *discovery.Targets
		Err     error
	}

	// ConfigurationRead is the result of ReadConfiguration.
	ConfigurationRead struct {
		// Document is nil if the store has no newer version.
		Document *Document
		Reading  history.Reading
		Err      error
	}

	// PeersRead is the result of ReadPeers.
	PeersRead struct {
		Peers []Peer
		Err   error
	}

	// Registered is the result of Register.
	Registered struct {
		Peers []Peer
		Err   error
	}

	// Fetched is the result of Fetch.
	Fetched struct {
		Peers []Peer
		// Targets is the whole list, and TargetChanges what has changed since the
		// revision that was asked for. At most one of them is set.
		Targets       *discovery.Targets
		TargetChanges *discovery.Changes
		Document      *Document
		// TargetsStamp and DocumentStamp are the stamps of the peer's copies.
		TargetsStamp, DocumentStamp Stamp
		// Notices are what the targets have said in their responses.
		Notices []TargetNotice
		Err     error
	}

	// SettingsChanged applies changed settings.
	SettingsChanged struct {
		Timing Timing
		Floor  float64
		Seeds  []string
	}

	// ShutdownRequested starts the graceful shutdown of this host.
	ShutdownRequested struct{}
)

func (Tick) isEvent()              {}
func (Observed) isEvent()          {}
func (NoticeReceived) isEvent()    {}
func (RequestsStarted) isEvent()   {}
func (DatagramReceived) isEvent()  {}
func (TargetsRead) isEvent()       {}
func (ConfigurationRead) isEvent() {}
func (PeersRead) isEvent()         {}
func (Registered) isEvent()        {}
func (Fetched) isEvent()           {}
func (SettingsChanged) isEvent()   {}
func (ShutdownRequested) isEvent() {}

// Document is a configuration as read from the store.
type Document struct {
	// Bytes is the document that hosts that fetch it receive. Keys of accounts are replaced by
	// their digests.
	Bytes         []byte
	Configuration *discovery.Configuration
	// History is the history of the store that the document was read in.
	History history.ID
}

// digest returns a hash of the document.
func (d *Document) digest() uint32 { return uint32(xxhash.Sum64(d.Bytes)) }

// Observation is the end of an attempt of this host or, if Unserved is set, of a whole request.
type Observation struct {
	Target  *pool.Target
	Outcome link.Outcome
	Latency time.Duration
	// Retryable is set if the request may run again.
	Retryable bool
	// Unserved is the service of a request whose caller was not served; empty for an attempt.
	Unserved string
}

// Effect is an action that the control thread must carry out. Its result, if it has one, comes
// back as an event.
type Effect interface{ isEffect() }

type (
	// Publish replaces the snapshot that traffic reads.
	Publish struct{ Snapshot *Snapshot }

	// Send sends a datagram to each of the addresses.
	Send struct {
		To       []string
		Datagram Datagram
	}

	// ReadTargets reads the registered targets from the store and waits up to Wait for a change.
	// Known is the latest history of the store that this host knows of.
	ReadTargets struct {
		Known history.ID
		Wait  time.Duration
	}

	// ReadConfiguration reads the configuration from the store and waits up to Wait for a
	// change.
	ReadConfiguration struct {
		Known history.ID
		Wait  time.Duration
	}

	// ReadPeers reads the rows of the registered hosts from the store.
	ReadPeers struct{}

	// Register writes the rows of hosts to the store.
	Register struct{ Peers []Peer }

	// RemovePeer removes from the store the row of a host that is gone. It has no result: if the
	// removal fails, the next host that forgets the lost one tries it again.
	RemovePeer struct{ ID ID }

	// Fetch requests documents from the peer at the RPC address From.
	Fetch struct {
		From                          string
		Peers, Targets, Configuration bool
		// TargetsSince asks for the changes of the targets since this revision of
		// TargetsHistory; 0 asks for the whole list.
		TargetsHistory history.ID
		TargetsSince   uint64
	}

	// Record adds an event to the timeline.
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
