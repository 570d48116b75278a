package traffic

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/crocushinge/crocushinge/contract"
)

// benchTargets is the number of targets of BenchmarkTargets.
const benchTargets = 30

// BenchmarkTargets measures the transport with many requests at once, over
// several targets of one service.
func BenchmarkTargets(b *testing.B) {
	urls := make([]string, benchTargets)
	for i := range urls {
		target := listenLoopback(b)
		go acceptAll(target, answerEach)
		urls[i] = "http://" + target.Addr().String()
	}
	targets := NewTargets(DialTCP)
	b.Cleanup(targets.CloseIdleConnections)
	ctx := withConnSettings(b.Context(), connSettings{contract.HTTP1, 64})
	var next atomic.Uint64
	b.SetParallelism(8)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			url := urls[next.Add(1)%benchTargets]
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				b.Error(err)
				return
			}
			resp, err := targets.RoundTrip(r)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}
