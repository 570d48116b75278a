package host

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
)

// Effect is something that the control thread must carry out.
type Effect interface{ isEffect() }

type (
	// Publish replaces the snapshot that traffic reads.
	Publish struct{ Snapshot *Snapshot }

	// ReadConfiguration asks the table for the changes after a revision.
	ReadConfiguration struct{ After uint64 }

	// FetchChanges asks a peer for the changes after a revision.
	FetchChanges struct {
		Peer  Identity
		After uint64
	}

	// SendPing sends a message to a peer and asks for an answer.
	SendPing struct {
		To      Identity
		Message Message
		Timeout time.Duration
	}

	// SendIndirectPing asks a peer to ping another one.
	SendIndirectPing struct {
		Via     Identity
		Subject Identity
		Timeout time.Duration
	}

	// SendSync asks a host for its list of hosts.
	SendSync struct {
		// To is a fleet address.
		To      string
		Message Message
	}

	// SendReports tells a peer of the evidence about targets, and asks it for
	// the signs of some services. It ends with ReportsAnswered.
	SendReports struct {
		To      Identity
		From    Identity
		Reports []service.Report
		SignsOf []string
	}

	// ReadHostList asks for the platform's host list.
	ReadHostList struct{}

	// SendProbe asks a target's health endpoint.
	SendProbe struct {
		Target  target.Key
		Address string
		Path    string
		// LeavingHeader is the response header that is the drain sign, if any.
		LeavingHeader string
		Protocol      contract.Protocol
	}

	// Record adds an event to the time line.
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
