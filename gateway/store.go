package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/zone"
)

// Store reads and writes the metadata store. Its methods are safe for concurrent use. Targets and
// Configuration fail if the store sends nothing for fleet.StoreResponseTimeout longer than it may wait.
type Store interface {
	// Targets returns the registered targets. It waits up to the given time for a change
	// since the last call returned. It fails if the store answers from an earlier history than
	// the known one.
	Targets(ctx context.Context, known history.ID, wait time.Duration) (*discovery.Targets, error)
	// Configuration returns a configuration that it has not returned before, or not of the
	// present history. It waits up to the given time for one; the document is nil when there is
	// none. The configuration shares with the one in force, which may be nil, what has not
	// changed. It fails like Targets.
	Configuration(ctx context.Context, inForce *discovery.Configuration, known history.ID, wait time.Duration) (document *fleet.Document, read history.Reading, err error)
	// SkippedEntries returns how many versions of entries could not be used so far.
	SkippedEntries() int64
	// Hosts returns the rows of the fleet's hosts.
	Hosts(ctx context.Context) ([][]byte, error)
	// PutHosts writes the rows of up to 100 hosts, by id, all or none.
	PutHosts(ctx context.Context, rows map[string][]byte) error
	// RemoveHost removes the row of a host.
	RemoveHost(ctx context.Context, id string) error
}

// Protocol defines a deployment's encoding of configurations and of the readiness and
// directory responses.
type Protocol interface {
	// ParseConfiguration parses a configuration, as the operator wrote it or as another host sent
	// it, into a document of no known history. The document's bytes hold no key of an account.
	// The configuration shares with the previous one, which may be nil, what has not changed.
	ParseConfiguration(document []byte, previous *discovery.Configuration) (*fleet.Document, error)
	// ReadyHandler returns the handler of readiness checks; ready reports whether this
	// host can serve.
	ReadyHandler(ready func() bool) http.Handler
	// DirectoryHandler returns a handler that tells callers which addresses to connect
	// to. hosts returns the addresses for a caller in a zone, and ttl how long the
	// caller may cache them.
	DirectoryHandler(hosts func(callerZone zone.ID) []string, ttl func() time.Duration) http.Handler
}
