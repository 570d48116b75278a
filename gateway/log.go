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

// heard decodes a datagram and hands it to the control thread.
func (g *Gateway) heard(data []byte) {
	d, err := share.DecodeDatagram(data)
	if err != nil {
		g.counters.unreadable.Add(1)
		return
	}
	g.counters.datagramsHeard.Add(1)
	g.control.Offer(fleet.Heard{Datagram: d})
}

// Rates of the lines about requests, in lines a second. What is beyond them is
// summed up, so that the volume stays bounded under load: at 300 bytes a line
// these are 15 and 6 KB a second.
const (
	failureLines = 50
	answerLines  = 20
	// lineBurst is how many seconds' lines may come at once.
	lineBurst = 4
)

// summaryInterval is the time between two lines that sum up what was left out.
const summaryInterval = 5 * time.Second

// lineLimits bound the lines about requests. Failures have a limit of their own,
// so that answers never crowd them out.
type lineLimits struct{ failures, answers *rate.Limiter }

func newLineLimits() *lineLimits {
	return &lineLimits{
		failures: rate.NewLimiter(failureLines, lineBurst*failureLines),
		answers:  rate.NewLimiter(answerLines, lineBurst*answerLines),
	}
}

// logDecision writes the line of a decision about a request, within the limits.
func (g *Gateway) logDecision(d traffic.Decision) {
	g.metrics.count(d)
	limit, level := g.lines.failures, zerolog.WarnLevel
	if d.Final() && d.Status < http.StatusInternalServerError {
		limit, level = g.lines.answers, zerolog.InfoLevel
	}
	if !limit.Allow() {
		g.counters.linesOmitted.Add(1)
		return
	}
	line := g.log.WithLevel(level).Str("request", d.Request).Str("route", d.Route).Str("service", d.Service).
		Int("status", d.Status).Dur("took_ms", d.Took).Dur("limit_ms", d.Limit).Uint64("configuration", uint64(d.Configuration))
	if d.Target != "" {
		line = line.Str("target", d.Target).Str("outcome", d.Outcome.String()).Int("attempt", d.Attempt).
			Dur("attempt_ms", d.Attempted).Int("in_flight", d.InFlight).Bool("suspect", d.Suspect)
	}
	if len(d.Tried) > 0 {
		line = line.Strs("tried", d.Tried)
	}
	if d.Reason != "" {
		line = line.Str("reason", d.Reason)
	}
	line.Msg(string(d.Event))
}

// summarize writes how many lines were left out, while any are.
func (g *Gateway) summarize(ctx context.Context) {
	before := int64(0)
	for wait.For(ctx, summaryInterval) {
		if n := g.counters.linesOmitted.Load(); n > before {
			g.log.Warn().Int64("lines", n-before).Msg("lines about requests left out")
			before = n
		}
	}
}

// LogWriter writes lines to another writer on a goroutine of its own. When that
// is slow, lines are dropped and counted; nobody waits for it.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// closed is closed by Close, and written after it, once all lines are written.
	closed, written chan struct{}
}

var _ io.Writer = (*LogWriter)(nil)

// logLines is how many lines wait at most.
const logLines = 1024

// NewLogWriter returns a writer to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logLines), closed: make(chan struct{}), written: make(chan struct{})}
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

// flushTime is how long Close waits for a reader that does not read.
const flushTime = 100 * time.Millisecond

// Close writes the lines that wait, as far as the other writer takes them in
// flushTime. Lines that are written later, by requests that were cut, are lost.
func (l *LogWriter) Close() error {
	close(l.closed)
	select {
	case <-l.written:
		return nil
	case <-time.After(flushTime):
		return errors.New("log: lines were left unwritten")
	}
}

// Dropped returns how many lines were dropped.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

func (l *LogWriter) run(w io.Writer) {
	defer close(l.written)
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

// write writes a line and those that wait behind it, logLines at most.
func (l *LogWriter) write(w io.Writer, line []byte) {
	for more := min(len(l.lines), logLines-1); more > 0; more-- {
		line = append(line, <-l.lines...)
	}
	// There is nowhere to report that the log cannot be written.
	_, _ = w.Write(line)
}
