package host

import (
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/target"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

type (
	// Tick signals that time has passed. The control thread sends one every
	// TickInterval.
	Tick struct{}

	// Observed carries observations of requests from traffic goroutines.
	Observed struct{ Observations []link.Observation }

	// ConfigurationRead is the result of ReadConfiguration or FetchChanges.
	ConfigurationRead struct {
		// Changes are the changes after the requested revision, in order. A
		// change with a document but without parsed content could not be read
		// by this host.
		Changes []contract.Change
		// Revision is the revision that the changes lead to, and History the history of the
		// table that it belongs to. In a later history than this host's, Changes are the
		// newest ones of all subjects.
		Revision uint64
		History  history.ID
		// Kept are the subjects whose documents the peer keeps though the table has lost them.
		Kept map[string]bool
		// FromStore is set when the changes come from the metadata store rather
		// than from a peer.
		FromStore bool
		Err       error
	}

	// MessageReceived is a message from a peer that expects a response.
	MessageReceived struct{ Message Message }

	// PingSucceeded is the response to SendPing.
	PingSucceeded struct{ Message Message }

	// PingFailed signals that SendPing got no response.
	PingFailed struct{ Subject ID }

	// IndirectPingEnded is the result of SendIndirectPing.
	IndirectPingEnded struct {
		Subject ID
		// Reached is set when the relay got a response from the subject.
		Reached bool
		// Err is set when the relay did not respond.
		Err error
	}

	// SyncSucceeded is the response to SendSync.
	SyncSucceeded struct {
		Message Message
		// Members are the hosts that are not gone in the peer's view; empty
		// when the peer's digest equals this host's.
		Members []Update
	}

	// ReportsReceived carries a peer's evidence about targets.
	ReportsReceived struct {
		From    Identity
		Reports []service.TargetReport
	}

	// SendReportsEnded is the result of SendReports.
	SendReportsEnded struct {
		// From is the host to which the reports were sent.
		From ID
		// Reports and LeaveSignalsOf are copied from SendReports.
		Reports        []service.TargetReport
		LeaveSignalsOf []string
		// Leaving names the leaving targets of the services in
		// LeaveSignalsOf.
		Leaving []service.TargetReport
		Err     error
	}

	// LeaveSignalsRequested signals that traffic has a request for a service
	// whose leaving targets this host does not know.
	LeaveSignalsRequested struct{ Service string }

	// HostListRead is the result of ReadHostList.
	HostListRead struct {
		Hosts []storage.ListedHost
		Err   error
	}

	// ProbeEnded is the result of SendProbe.
	ProbeEnded struct {
		Target target.Key
		// OK is set when the health endpoint responded with success.
		OK bool
		// Leaving is set when the response carried the target's leave signal.
		Leaving bool
		Latency time.Duration
	}

	// RequestEnded describes the outcome of a non-idempotent request.
	RequestEnded struct {
		// Request is the request's ID.
		Request string
		Service string
		// Target is the name of the target that the request was last sent to,
		// if any.
		Target string
		Result caller.Result
		// Status is the target's HTTP status when the result is Completed.
		Status int
		// Reason says why there is no response.
		Reason string
	}

	// OperatorDrain is an operator's instruction to send no more requests to a
	// target.
	OperatorDrain struct {
		Target target.Key
		// Operator is the name of the operator. Reason says why the target is
		// drained; it may be empty.
		Operator string
		Reason   string
		At       time.Time
	}

	// OperatorUndrain withdraws a drain that is not in the configuration in
	// force.
	OperatorUndrain struct {
		Target target.Key
		// Operator is the name of the operator.
		Operator string
	}

	// ShutdownRequested makes the host leave the fleet.
	ShutdownRequested struct{}
)

func (Tick) isEvent()                  {}
func (Observed) isEvent()              {}
func (ConfigurationRead) isEvent()     {}
func (MessageReceived) isEvent()       {}
func (PingSucceeded) isEvent()         {}
func (PingFailed) isEvent()            {}
func (IndirectPingEnded) isEvent()     {}
func (ReportsReceived) isEvent()       {}
func (SendReportsEnded) isEvent()      {}
func (LeaveSignalsRequested) isEvent() {}
func (SyncSucceeded) isEvent()         {}
func (HostListRead) isEvent()          {}
func (ProbeEnded) isEvent()            {}
func (RequestEnded) isEvent()          {}
func (OperatorDrain) isEvent()         {}
func (OperatorUndrain) isEvent()       {}
func (ShutdownRequested) isEvent()     {}
