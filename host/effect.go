package host

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
)

// Effect is an action that the control thread must carry out.
type Effect interface{ isEffect() }

type (
	// Publish replaces the snapshot that traffic reads.
	Publish struct{ Snapshot *Snapshot }

	// ReadConfiguration reads the changes after a revision from the metadata
	// store.
	ReadConfiguration struct{ After history.Position }

	// FetchChanges requests the changes after a revision from a peer.
	FetchChanges struct {
		Peer  Identity
		After history.Position
	}

	// SendPing sends a message to a peer and waits for its response.
	SendPing struct {
		To      Identity
		Message Message
		Timeout time.Duration
	}

	// SendIndirectPing asks a peer to ping another peer.
	SendIndirectPing struct {
		Via     Identity
		Subject Identity
		Timeout time.Duration
	}

	// SendSync requests the list of hosts from a host.
	SendSync struct {
		// To is a fleet address.
		To      string
		Message Message
	}

	// SendReports sends evidence about targets to a peer, and queries the leave
	// signals of the services in LeaveSignalsOf. It ends with SendReportsEnded.
	SendReports struct {
		To             Identity
		From           Identity
		Reports        []service.TargetReport
		LeaveSignalsOf []string
	}

	// ReadHostList reads the platform's host list.
	ReadHostList struct{}

	// SendProbe sends a request to a target's health endpoint.
	SendProbe struct {
		Target  target.Key
		Address string
		Path    string
		// LeavingHeader is the response header that a leaving target sets;
		// empty if there is none.
		LeavingHeader string
		// EchoesID is set when only a response counts that repeats the id of the probe.
		EchoesID bool
		Protocol contract.Protocol
	}

	// Record adds an event to the timeline.
	Record struct{ Event timeline.Event }
)

func (Publish) isEffect()           {}
func (ReadConfiguration) isEffect() {}
func (FetchChanges) isEffect()      {}
func (SendPing) isEffect()          {}
func (SendIndirectPing) isEffect()  {}
func (SendReports) isEffect()       {}
func (SendSync) isEffect()          {}
func (ReadHostList) isEffect()      {}
func (SendProbe) isEffect()         {}
func (Record) isEffect()            {}
