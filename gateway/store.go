package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/zone"
)

// Store is the metadata store as a host uses it. Its methods are safe for
// concurrent use.
type Store interface {
	// Targets waits up to the given time for a change of the registered targets
	// since it last returned, and returns those of now.
	Targets(ctx context.Context, wait time.Duration) (*discovery.Targets, error)
	// Configuration waits up to the given time for a configuration that it has
	// not returned yet. The document is nil when there is none; at is the store's
	// clock in milliseconds.
	Configuration(ctx context.Context, wait time.Duration) (document *fleet.Document, at int64, err error)
	// Hosts reads the rows of the fleet's hosts.
	Hosts(ctx context.Context) ([][]byte, error)
	// PutHost writes the row of a host.
	PutHost(ctx context.Context, id string, row []byte) error
	// RemoveHost drops the row of a host.
	RemoveHost(ctx context.Context, id string) error
}

// Protocol is how a deployment encodes what callers and operators say.
type Protocol interface {
	// ParseConfiguration reads a configuration as the operator wrote it.
	ParseConfiguration(document []byte) (*discovery.Configuration, error)
	// ReadyHandler serves the checks whether this host can serve.
	ReadyHandler(ready func() bool) http.Handler
	// DirectoryHandler serves callers that ask which addresses to use. hosts
	// returns those for a caller of a zone.
	DirectoryHandler(hosts func(of zone.ID) []string, ttl func() time.Duration) http.Handler
}
