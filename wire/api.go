package wire

import (
	"time"

	"github.com/crocushinge/crocushinge/contract"
)

// Failure is the body of an answer that reports an error.
type Failure struct {
	Error string `json:"error"`
}

// Directory answers a caller's question which hosts to use for a service.
type Directory struct {
	Service string `json:"service"`
	// Hosts are in order of preference.
	Hosts []DirectoryHost `json:"hosts"`
	// KeepMillis is how long the caller may keep the answer.
	KeepMillis int64 `json:"keep_ms"`
	// IDPrefix begins the ids of the caller's requests; it makes the
	// answering host their home. The caller appends a nonce of its own.
	IDPrefix string `json:"id_prefix"`
}

// DirectoryHost is a host that a caller may use.
type DirectoryHost struct {
	ID         string `json:"id"`
	Zone       string `json:"zone"`
	Address    string `json:"address"`
	APIAddress string `json:"api_address"`
}

// Status tells an operator how a host is.
type Status struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Ready       bool   `json:"ready"`
	// Hosts are the ids of the hosts that callers are sent to.
	Hosts []string `json:"hosts"`
	// Peers are the other hosts that this one takes to be alive, sorted by id.
	Peers []DirectoryHost `json:"peers"`
	// Services are those in force, sorted by name.
	Services []ServiceStatus `json:"services"`
	// Accounts is the number of client accounts.
	Accounts int `json:"accounts"`
}

// ServiceStatus tells how one host routes a service.
type ServiceStatus struct {
	Service string `json:"service"`
	// Targets is how many targets the contract declares.
	Targets int `json:"targets"`
	// Routed is how many of them this host sends work to.
	Routed int `json:"routed"`
	// Panic is set when too few are left to be choosy.
	Panic bool `json:"panic,omitempty"`
	// Fronted is set when the host is in the entry set of the service. What
	// follows is known only then.
	Fronted bool `json:"fronted"`
	// HealthySlots is the healthy capacity, and FloorSlots its floor.
	HealthySlots int `json:"healthy_slots,omitempty"`
	FloorSlots   int `json:"floor_slots,omitempty"`
	// Away are the targets that take less than their full share, in the order
	// of the contract.
	Away []TargetStatus `json:"away,omitempty"`
}

// TargetStatus tells how one host sees a target.
type TargetStatus struct {
	Target string    `json:"target"`
	State  string    `json:"state"`
	Since  time.Time `json:"since"`
	// Cut is set while the host routes around its own path to the target.
	Cut bool `json:"cut,omitempty"`
}

// Document is the newest change of one subject, or one change of its history.
type Document struct {
	// Subject is a service, or "accounts/" and the name of an accounts
	// document.
	Subject  string    `json:"subject"`
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Proposal string    `json:"proposal"`
	// Removed is set when the change removed the document.
	Removed bool `json:"removed,omitempty"`
	// Text is the document as YAML; empty in lists and in the history.
	Text string `json:"text,omitempty"`
}

// NewDocument returns a change for the API, with its text.
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

// Documents lists what is in force on a host.
type Documents struct {
	Revision  uint64     `json:"revision"`
	Documents []Document `json:"documents"`
	// KnownAccounts are accounts that stand in no document.
	KnownAccounts []string `json:"known_accounts,omitempty"`
}

// History is one page of the changes of a subject, oldest first.
type History struct {
	Changes []Document `json:"changes"`
	// Next is the revision to ask for the next page after; 0 on the last page.
	Next uint64 `json:"next,omitempty"`
}

// DrainState tells what became of an operator's drain, or of its undoing.
type DrainState string

// The states of a drain.
const (
	// DrainKept: the table keeps it; it is in force everywhere within seconds.
	DrainKept DrainState = "kept"
	// DrainUnkept: it holds on the hosts, but the table does not keep it.
	DrainUnkept DrainState = "unkept"
	// DrainUnknown: the table may keep it or not.
	DrainUnknown DrainState = "unknown"
	// DrainRejected: another change came first, or it has faults.
	DrainRejected DrainState = "rejected"
)

// Drain is an operator's order that a target gets no more work.
type Drain struct {
	// Target is "service/name".
	Target   string     `json:"target"`
	Operator string     `json:"operator"`
	Reason   string     `json:"reason,omitempty"`
	At       time.Time  `json:"at"`
	State    DrainState `json:"state"`
	// Revision is the one that it is in force from.
	Revision uint64 `json:"revision,omitempty"`
	Proposal string `json:"proposal,omitempty"`
	// Error tells why it is not kept.
	Error string `json:"error,omitempty"`
}

// Drains lists drains by target.
type Drains struct {
	Drains []Drain `json:"drains"`
}

// Outcome is how a request ended, as the table keeps it.
type Outcome struct {
	Account string `json:"account"`
	// Result is "completed", "not-run" or "unknown".
	Result string `json:"result"`
	// Status is the target's HTTP status when the result is "completed".
	Status int `json:"status,omitempty"`
}

// Outcomes are the ends of the requests of one id, one for each account.
type Outcomes struct {
	Outcomes []Outcome `json:"outcomes"`
}
