package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/internal/wait"
	"github.com/crocushinge/crocushinge/traffic"
	"github.com/crocushinge/crocushinge/wire/share"
)

// handleDatagram decodes a datagram and hands it to the control thread.
func (g *Gateway) handleDatagram(data []byte) {
	d, err := share.DecodeDatagram(data)
	if err != nil {
		g.counters.receiveFailures.Add(1)
		return
	}
	g.counters.datagramsReceived.Add(1)
	g.control.TrySend(fleet.DatagramReceived{Datagram: d})
}

// Rate limits of the log lines about requests. Lines beyond them are only counted, so
// that the volume stays bounded under load: at 300 bytes a line, 15 KB a second for
// failures and 6 KB a second for other responses.
const (
	failureLinesPerSecond  = 50
	responseLinesPerSecond = 20
	// lineBurstSeconds sets the allowed burst: as many lines as the rate limit allows in
	// this time.
	lineBurstSeconds = 4
)

// omittedLinesInterval is the time between two log lines with the count of omitted
// lines.
const omittedLinesInterval = 5 * time.Second

// logLimits limits the rate of log lines about requests. Failures have a separate
// limit, so that lines about successful requests never displace them.
type logLimits struct{ failures, responses *rate.Limiter }

func newLogLimits() *logLimits {
	return &logLimits{
		failures:  rate.NewLimiter(failureLinesPerSecond, lineBurstSeconds*failureLinesPerSecond),
		responses: rate.NewLimiter(responseLinesPerSecond, lineBurstSeconds*responseLinesPerSecond),
	}
}

// logDecision adds a decision about a request to the metrics and logs it, unless the
// rate limit is reached.
func (g *Gateway) logDecision(d traffic.Decision) {
	g.metrics.recordDecision(d)
	limiter, level := g.logLimits.failures, zerolog.WarnLevel
	if d.Final() && d.Status < http.StatusInternalServerError {
		limiter, level = g.logLimits.responses, zerolog.InfoLevel
	}
	if !limiter.Allow() {
		g.counters.logLinesOmitted.Add(1)
		return
	}
	line := g.log.WithLevel(level).Str("request", d.Request).Str("route", d.Route).Str("service", d.Service).
		Int("status", d.Status).Dur("took_ms", d.Elapsed).Dur("limit_ms", d.TimeLimit).Uint64("configuration", uint64(d.Configuration))
	if d.Target != "" {
		line = line.Str("target", d.Target).Str("outcome", d.Outcome.String()).Int("attempt", d.Attempt).
			Dur("attempt_ms", d.AttemptDuration).Int("in_flight", d.InFlight).Bool("suspect", d.Suspect).
			Str("choice", string(d.Choice)).Int64("proven_age_ms", d.ProvenAge.Milliseconds())
	}
	if d.Account != "" {
		line = line.Str("account", d.Account)
	}
	if len(d.Tried) > 0 {
		line = line.Strs("tried", d.Tried)
	}
	if d.Ahead > 0 || d.ExpectedWait > 0 {
		line = line.Dur("expected_wait_ms", d.ExpectedWait).Int("ahead", d.Ahead)
	}
	if d.Reason != "" {
		line = line.Str("reason", d.Reason)
	}
	line.Msg(string(d.Event))
}

// reportOmittedLines periodically logs how many lines were omitted since the last
// report, if any.
func (g *Gateway) reportOmittedLines(ctx context.Context) {
	reported := int64(0)
	for wait.For(ctx, omittedLinesInterval) {
		if omitted := g.counters.logLinesOmitted.Load(); omitted > reported {
			g.log.Warn().Int64("lines", omitted-reported).Msg("lines about requests left out")
			reported = omitted
		}
	}
}

// LogWriter queues lines and writes them to another writer on its own goroutine. Write
// never blocks: when the other writer is slow and the queue is full, lines are dropped
// and counted.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// closed is closed by Close. flushed is closed after that, when the queued lines
	// have been written.
	closed, flushed chan struct{}
}

var _ io.Writer = (*LogWriter)(nil)

const maxQueuedLines = 1024

// NewLogWriter returns a LogWriter that writes to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), flushed: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer.
func (l *LogWriter) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// flushTimeout bounds how long Close waits when the reader of the log has stalled.
const flushTimeout = 100 * time.Millisecond

// Close writes the queued lines and returns an error if that takes longer than
// flushTimeout. Lines that aborted requests pass to Write afterwards are lost.
func (l *LogWriter) Close() error {
	close(l.closed)
	select {
	case <-l.flushed:
		return nil
	case <-time.After(flushTimeout):
		return errors.New("log: closed with unwritten lines")
	}
}

// Dropped returns how many lines were dropped because the queue was full.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

func (l *LogWriter) run(w io.Writer) {
	defer close(l.flushed)
	for {
		select {
		case line := <-l.lines:
			l.write(w, line)
		case <-l.closed:
			if len(l.lines) > 0 {
				l.write(w, <-l.lines)
			}
			return
		}
	}
}

// write writes a line and the lines queued behind it, at most maxQueuedLines in all, in
// one call of w.Write.
func (l *LogWriter) write(w io.Writer, line []byte) {
	for remaining := min(len(l.lines), maxQueuedLines-1); remaining > 0; remaining-- {
		line = append(line, <-l.lines...)
	}
	// A failure to write the log cannot be reported anywhere.
	_, _ = w.Write(line)
}
