package host

import (
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/target"
)

// Event is something that happened to the host.
type Event interface{ isEvent() }

type (
	// Tick lets time pass. The control thread sends one every TickInterval.
	Tick struct{}

	// Observed carries the observations of traffic goroutines.
	Observed struct{ Observations []link.Observation }

	// ConfigurationRead is the answer to ReadConfiguration or FetchChanges.
	ConfigurationRead struct {
		// Changes are the changes after the revision asked for, in order. The
		// document of one without a contract could not be read.
		Changes []contract.Change
		// Revision is the one that the changes lead to.
		Revision uint64
		// FromStore is set when the table answered, rather than a peer.
		FromStore bool
		Err       error
	}

	// MessageHeard is a message from a peer that asks for an answer.
	MessageHeard struct{ Message Message }

	// PingAnswered is the answer to SendPing.
	PingAnswered struct{ Message Message }

	// PingFailed tells that SendPing got no answer.
	PingFailed struct{ Subject ID }

	// IndirectAnswered is the answer to SendIndirectPing.
	IndirectAnswered struct {
		Subject ID
		// Reached is set when the relay got an answer of the subject.
		Reached bool
		// Err is set when the relay did not answer.
		Err error
	}

	// SyncAnswered is the answer to SendSync.
	SyncAnswered struct {
		Message Message
		// Members are the hosts that the peer does not take to be gone; empty
		// when its digest equals this host's.
		Members []Update
	}

	// ReportsHeard is a peer's evidence about targets.
	ReportsHeard struct {
		From    Identity
		Reports []service.Report
	}

	// ReportsAnswered is the end of SendReports.
	ReportsAnswered struct {
		// From is the host that was told and asked.
		From ID
		// Reports and SignsOf are those of SendReports.
		Reports []service.Report
		SignsOf []string
		// Leaving names the targets of those services that leave.
		Leaving []service.Report
		Err     error
	}

	// SignsWanted tells that traffic has a request of a service whose leaving
	// targets this host does not know.
	SignsWanted struct{ Service string }

	// HostListRead is the answer to ReadHostList.
	HostListRead struct {
		Hosts []storage.ListedHost
		Err   error
	}

	// ProbeAnswered is the end of a probe asked for by SendProbe.
	ProbeAnswered struct {
		Target target.Key
		// OK is set when the health endpoint answered with success.
		OK bool
		// Leaving is set when the answer carried the target's drain sign.
		Leaving bool
		Latency time.Duration
	}

	// RequestEnded tells how a non-idempotent request ended.
	RequestEnded struct {
		// Request is the request's id.
		Request string
		Service string
		// Target is the name of the target it was last sent to, if any.
		Target string
		Result caller.Result
		// Status is the target's HTTP status when the result is Completed.
		Status int
		// Reason tells why there is no answer.
		Reason string
	}

	// OperatorDrain asks that a target gets no more work.
	OperatorDrain struct {
		Target target.Key
		// Operator names who asked, and Reason why.
		Operator string
		Reason   string
		At       time.Time
	}

	// OperatorUndrain takes back a drain that is not in force.
	OperatorUndrain struct {
		Target target.Key
		// Operator names who asked.
		Operator string
	}

	// ShutdownRequested asks the host to leave the fleet.
	ShutdownRequested struct{}
)

func (Tick) isEvent()              {}
func (Observed) isEvent()          {}
func (ConfigurationRead) isEvent() {}
func (MessageHeard) isEvent()      {}
func (PingAnswered) isEvent()      {}
func (PingFailed) isEvent()        {}
func (IndirectAnswered) isEvent()  {}
func (ReportsHeard) isEvent()      {}
func (ReportsAnswered) isEvent()   {}
func (SignsWanted) isEvent()       {}
func (SyncAnswered) isEvent()      {}
func (HostListRead) isEvent()      {}
func (ProbeAnswered) isEvent()     {}
func (RequestEnded) isEvent()      {}
func (OperatorDrain) isEvent()     {}
func (OperatorUndrain) isEvent()   {}
func (ShutdownRequested) isEvent() {}
