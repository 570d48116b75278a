package publish

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/memory"
)

// hookedTable is an in-memory table with hooks. A test uses them to act between
// two calls of the code under test, or to replace a write.
type hookedTable struct {
	*memory.Platform
	// A nil hook is not called. write replaces the write of the table.
	beforeQuery func(partition string)
	afterGet    func(key storage.Key)
	write       func(ctx context.Context, puts []storage.Put) error
}

func (h *hookedTable) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	row, err := h.Platform.Get(ctx, key)
	if h.afterGet != nil {
		h.afterGet(key)
	}
	return row, err
}

func (h *hookedTable) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	if h.beforeQuery != nil {
		h.beforeQuery(partition)
	}
	return h.Platform.Query(ctx, partition, after, limit)
}

func (h *hookedTable) Write(ctx context.Context, puts ...storage.Put) error {
	if h.write != nil {
		return h.write(ctx, puts)
	}
	return h.Platform.Write(ctx, puts...)
}

// newStore returns a store and the in-memory table that it uses.
func newStore() (*Store, *hookedTable) {
	table := &hookedTable{Platform: memory.New()}
	clock := time.UnixMilli(1_700_000_000_000)
	return &Store{Table: table, Now: func() time.Time { return clock }, KnownAccounts: []string{"bookshop"}}, table
}

func document(service, path string) []byte {
	return fmt.Appendf(nil, `service: %s
targets: [{name: one, address: "10.0.0.1:80", zone: z}, {name: two, address: "10.0.0.2:80", zone: z}]
routes: [{path: %s}]
floor: 4
accounts: [bookshop]
`, service, path)
}

func proposal(id, service string, base uint64) Proposal {
	return Proposal{ID: id, Operator: "ana", Subject: service, Document: document(service, "/"+service), Base: base}
}

func mustPropose(t *testing.T, s *Store, p Proposal) Result {
	t.Helper()
	r, err := s.Propose(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func mustAccept(t *testing.T, s *Store, p Proposal) Result {
	t.Helper()
	r := mustPropose(t, s, p)
	if r.Status != Accepted {
		t.Fatalf("proposal %s: %+v", p.ID, r)
	}
	return r
}

// countChanges returns the number of changes in the log.
func countChanges(t *testing.T, table *hookedTable) int {
	t.Helper()
	rows, err := table.Platform.Query(context.Background(), partitionChange, "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}
