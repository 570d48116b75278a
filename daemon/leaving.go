package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/internal/wait"
)

// defaultLeaveTime is how long a leaving host keeps accepting requests. The other
// hosts need time to learn that the host is leaving. After that, callers may still
// use a cached directory response that lists the host, for up to maxDirectoryTTL.
const defaultLeaveTime = maxDirectoryTTL + 2*time.Second

// serveWhileLeaving keeps serving after the fleet has been notified that this host
// is leaving. A host without peers doesn't wait, since there is no other host that
// callers could move to.
func (d *Daemon) serveWhileLeaving(ctx context.Context) {
	if len(d.control.snapshot.Load().Peers) == 0 {
		return
	}
	leaveTime := d.leaveTime
	if plan := d.shutdownPlan.Load(); plan != nil {
		leaveTime = min(leaveTime, time.Until(plan.CloseAt))
	}
	wait.For(ctx, leaveTime)
}

// notifyLeft tells a few peers that this host has finished its requests and is gone.
// These peers spread the message to the other hosts.
func (d *Daemon) notifyLeft(ctx context.Context) {
	var pings []host.SendPing
	if err := d.control.Call(ctx, func(core *host.Core) { pings = core.LeaveNotices(time.Now()) }); err != nil {
		return
	}
	var pending sync.WaitGroup
	for _, p := range pings {
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, p.Timeout)
			defer cancel()
			// A peer that misses the message detects by its own pings that this host
			// is gone.
			_, _ = d.peers.ping(ctx, p.To.FleetAddress, p.Message)
		})
	}
	pending.Wait()
}

// closeWhileLeaving closes HTTP/1.1 connections after each response that begins while
// this host leaves. Callers then connect to another host, and no connection is idle
// when the listener closes.
func (d *Daemon) closeWhileLeaving(next http.Handler) http.Handler {
	leaving := func() bool { return d.control.snapshot.Load().Self.Leaving }
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 {
			w = &closingWriter{w, leaving}
		}
		next.ServeHTTP(w, r)
	})
}

// closingWriter adds "Connection: close" to the response if the host leaves.
type closingWriter struct {
	http.ResponseWriter
	leaving func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK && w.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
