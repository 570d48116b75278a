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

// barrierTarget is a target that responds once size requests are in flight.
type barrierTarget struct {
	mu       sync.Mutex
	size     int
	waiting  int
	released chan struct{}
}

func newBarrierTarget(size int) *barrierTarget {
	return &barrierTarget{size: size, released: make(chan struct{})}
}

func (b *barrierTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	released := b.released
	if b.waiting++; b.waiting == b.size {
		close(released)
		b.waiting, b.released = 0, make(chan struct{})
	}
	b.mu.Unlock()
	<-released
	_, _ = io.WriteString(w, "sheet")
}

// TestTransportKeepsConnectionsAfterBurst checks that later bursts reuse the
// connections that the first one opened.
func TestTransportKeepsConnectionsAfterBurst(t *testing.T) {
	is := is.New(t)
	const burst = 3 * maxIdlePerPeer
	server := httptest.NewServer(newBarrierTarget(burst))
	defer server.Close()
	var dials atomic.Int64
	targets := NewTargetTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return DialTCP(ctx, network, address)
	})
	defer targets.CloseIdleConnections()
	for range 3 {
		sendTogether(t, targets, server.URL, burst)
	}
	is.Equal(dials.Load(), int64(burst))
}

// sendTogether sends n requests concurrently and reads their responses.
func sendTogether(t *testing.T, targets *TargetTransport, url string, n int) {
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
	targets := NewTargetTransport(DialTCP)
	settings := connSettings{contract.HTTP1, 1}
	used := make(map[*http.Transport]bool)
	for i := range 1000 {
		address := fmt.Sprintf("10.0.0.1:%d", i)
		transport := targets.transportFor(settings, address)
		used[transport] = true
		// A transport counts the connections to a target, so all requests to a target use
		// the same transport.
		is.True(targets.transportFor(settings, address) == transport)
	}
	is.Equal(len(used), shardCount)
}
