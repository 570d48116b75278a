package traffic

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
)

// meeting is a target that answers once a number of requests are under way.
type barrierTarget struct {
	mu      sync.Mutex
	size    int
	arrived int
	released     chan struct{}
}

func newBarrierTarget(size int) *barrierTarget { return &barrierTarget{size: size, released: make(chan struct{})} }

func (m *barrierTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	all := m.released
	if m.arrived++; m.arrived == m.size {
		close(all)
		m.arrived, m.released = 0, make(chan struct{})
	}
	m.mu.Unlock()
	<-all
	_, _ = io.WriteString(w, "sheet")
}

func TestTransportKeepsConnectionsAfterBurst(t *testing.T) {
	is := is.New(t)
	const burst = 3 * maxIdlePerPeer
	server := httptest.NewServer(newBarrierTarget(burst))
	defer server.Close()
	var dials atomic.Int64
	targets := NewTargets(func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return DialTCP(ctx, network, address)
	})
	defer targets.CloseIdleConnections()
	for range 3 {
		sendTogether(t, targets, server.URL, burst)
	}
	is.Equal(dials.Load(), int64(burst))
}

// sendTogether sends requests at the same time and reads their answers.
func sendTogether(t *testing.T, targets *Targets, url string, n int) {
	ctx := withConnSettings(t.Context(), connSettings{contract.HTTP1, n})
	var group sync.WaitGroup
	for range n {
		group.Go(func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				t.Error(err)
				return
			}
			resp, err := targets.RoundTrip(r)
			if err != nil {
				t.Error(err)
				return
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Error(err)
			}
			_ = resp.Body.Close()
		})
	}
	group.Wait()
}

func TestTransportShardsTargets(t *testing.T) {
	is := is.New(t)
	targets := NewTargets(DialTCP)
	kind := connSettings{contract.HTTP1, 1}
	used := make(map[*http.Transport]bool)
	for i := range 1000 {
		address := fmt.Sprintf("10.0.0.1:%d", i)
		chosen := targets.transportFor(kind, address)
		used[chosen] = true
		// One transport counts all connections to a target.
		is.True(targets.transportFor(kind, address) == chosen)
	}
	is.Equal(len(used), shardCount)
}
