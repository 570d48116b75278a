package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/internal/wait"
)

// leaveTime is how long a leaving host goes on accepting requests: as long as
// callers may keep an answer that names it, and until the other hosts have
// heard that it leaves.
const leaveTime = maxDirectoryKeep + 2*time.Second

// serveWhileLeaving serves on after the fleet has been told that this host leaves. A host
// that knows no other need not wait: callers have nowhere else to go.
func (d *Daemon) serveWhileLeaving(ctx context.Context) {
	if len(d.control.snapshot.Load().Peers) == 0 {
		return
	}
	wait.For(ctx, d.leaveTime)
}

// notifyLeft tells the fleet that this host has finished its work.
func (d *Daemon) notifyLeft(ctx context.Context) {
	var pings []host.SendPing
	if err := d.control.Call(ctx, func(core *host.Core) { pings = core.LeaveNotices(time.Now()) }); err != nil {
		return
	}
	var sent sync.WaitGroup
	for _, p := range pings {
		sent.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, p.Timeout)
			defer cancel()
			// A peer that misses it finds out by its pings.
			_, _ = d.peers.ping(ctx, p.To.FleetAddress, p.Message)
		})
	}
	sent.Wait()
}

// closeWhileLeaving makes callers open their next connection elsewhere: each
// answer of a leaving host ends its connection, so that none is idle when the
// listener closes.
func (d *Daemon) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && d.control.snapshot.Load().Self.Leaving {
			w = &closingWriter{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// closingWriter asks the caller to close the connection after the answer.
type closingWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.Header().Set("Connection", "close")
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the wrapped writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
