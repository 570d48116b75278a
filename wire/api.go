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
	Host        string   `json:"host"`
	Incarnation uint64   `json:"incarnation"`
	Revision    uint64   `json:"revision"`
	Ready       bool     `json:"ready"`
	Hosts       []string `json:"hosts"`
}

// Contract is a contract in force.
type Contract struct {
	Service  string    `json:"service"`
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Document string    `json:"document"`
}

// NewContract returns the contract that a change put in force.
func NewContract(ch contract.Change) *Contract {
	return &Contract{
		Service:  ch.Service,
		Version:  ch.Version,
		Revision: ch.Revision,
		Operator: ch.Operator,
		At:       ch.At,
		Document: string(ch.Document),
	}
}
