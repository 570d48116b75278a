package wire

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
)

// ErrorResponse is the body of an error response of the API.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Directory tells a caller which hosts to send the requests of a service to.
type Directory struct {
	Service string `json:"service"`
	// Hosts are ordered by preference, the best first.
	Hosts []DirectoryHost `json:"hosts"`
	// CacheMillis is how long the caller may cache the directory, in milliseconds.
	CacheMillis int64 `json:"keep_ms"`
	// IDPrefix is the prefix of the caller's request ids. The caller appends a
	// nonce of its own. The home host of these ids is the host that returned the
	// directory.
	IDPrefix string `json:"id_prefix"`
}

// DirectoryHost describes a host that callers can reach.
type DirectoryHost struct {
	ID         string `json:"id"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	APIAddress string `json:"api_address"`
}

// Status describes the state of a host to an operator.
type Status struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Ready       bool   `json:"ready"`
	// DirectoryHosts are the ids of the hosts that the directory offers to callers.
	DirectoryHosts []string `json:"hosts"`
	// Peers are the other hosts that this host considers alive, sorted by id.
	Peers []DirectoryHost `json:"peers"`
	// Services are the services of the configuration in force, sorted by name.
	Services []ServiceStatus `json:"services"`
	// Accounts is the number of client accounts.
	Accounts int `json:"accounts"`
}

// ServiceStatus describes how one host routes the requests of a service.
type ServiceStatus struct {
	Service string `json:"service"`
	// Targets is the number of targets that the contract declares.
	Targets int `json:"targets"`
	// RoutedTargets is the number of targets that this host sends requests to.
	RoutedTargets int `json:"routed"`
	// Panic is set while the healthy capacity is below its floor. The host then
	// sends requests to every target that is not leaving.
	Panic bool `json:"panic,omitempty"`
	// IsEntryHost is set when the host is an entry host for the service. The
	// fields below are set only then.
	IsEntryHost bool `json:"fronted"`
	// HealthySlots is the capacity of the healthy targets. Ejections must not reduce
	// it below FloorSlots.
	HealthySlots int `json:"healthy_slots,omitempty"`
	FloorSlots   int `json:"floor_slots,omitempty"`
	// Degraded are the targets that get less than their full share of requests, in
	// the order of the contract.
	Degraded []TargetStatus `json:"away,omitempty"`
}

// TargetStatus describes the state that one host assigns to a target.
type TargetStatus struct {
	Target string    `json:"target"`
	State  string    `json:"state"`
	Since  time.Time `json:"since"`
	// LinkCut is set while the host avoids the target because its own network path
	// to it is broken.
	LinkCut bool `json:"cut,omitempty"`
}

// Document is the newest change of a subject, or one change of its history.
type Document struct {
	// Subject is the name of a service, or "accounts/" followed by the name of
	// an accounts document.
	Subject  string    `json:"subject"`
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Proposal string    `json:"proposal"`
	// Removed is set when the change removed the document.
	Removed bool `json:"removed,omitempty"`
	// Kept is set when the table has lost the document in a restore: it is in force until its
	// subject is published again. Version is then the table's.
	Kept bool `json:"kept,omitempty"`
	// Text is the document in YAML. It is empty in lists and in the history.
	Text string `json:"text,omitempty"`
}

// NewDocument converts a change to its API form, including the text.
func NewDocument(ch contract.Change) Document {
	return Document{
		Subject:  ch.Subject,
		Version:  ch.Version,
		Revision: ch.Revision,
		Operator: ch.Operator,
		At:       ch.At,
		Proposal: ch.Proposal,
		Removed:  len(ch.Document) == 0,
		Text:     string(ch.Document),
	}
}

// Documents lists the documents that are in force on a host.
type Documents struct {
	Revision  uint64     `json:"revision"`
	Documents []Document `json:"documents"`
	// KnownAccounts are the accounts declared in the host's settings rather than in
	// a document.
	KnownAccounts []string `json:"known_accounts,omitempty"`
}

// History is one page of the changes of a subject, oldest first.
type History struct {
	Changes []Document `json:"changes"`
	// Next is the value of the query parameter after for the next page; 0 on the
	// last page.
	Next uint64 `json:"next,omitempty"`
}

// DrainState is the result of an operator's drain or undrain command.
type DrainState string

// The states of a drain.
const (
	// DrainStored means that the drain is stored in the metadata store. It is in
	// force on all hosts within seconds.
	DrainStored DrainState = "kept"
	// DrainNotStored means that the drain is in force on some hosts but is not stored
	// in the metadata store.
	DrainNotStored DrainState = "unkept"
	// DrainUnknown means that the metadata store may or may not have stored the
	// drain.
	DrainUnknown DrainState = "unknown"
	// DrainRejected means that the drain was not published, because another change
	// came first or the drain is invalid.
	DrainRejected DrainState = "rejected"
)

// Drain is an operator's command to send a target no more requests.
type Drain struct {
	// Target is "service/name".
	Target   string     `json:"target"`
	Operator string     `json:"operator"`
	Reason   string     `json:"reason,omitempty"`
	At       time.Time  `json:"at"`
	State    DrainState `json:"state"`
	// Revision is the configuration revision from which the drain is in force.
	Revision uint64 `json:"revision,omitempty"`
	Proposal string `json:"proposal,omitempty"`
	// Error says why the drain is not stored.
	Error string `json:"error,omitempty"`
}

// Drains lists the drains that a host applies.
type Drains struct {
	Drains []Drain `json:"drains"`
}

// Outcome is the result of a request as stored in the metadata store.
type Outcome struct {
	Account string `json:"account"`
	// Result is "completed", "not-run" or "unknown".
	Result string `json:"result"`
	// Status is the target's HTTP status when the result is "completed".
	Status int `json:"status,omitempty"`
}

// Outcomes are the results stored under one request id, one for each account
// that used it.
type Outcomes struct {
	Outcomes []Outcome `json:"outcomes"`
}
