package gateway

import (
	"io"
	"sync/atomic"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
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
	g.control.offer(fleet.Heard{Datagram: d})
}

// logDecision writes the line of a decision about a request.
func (g *Gateway) logDecision(d traffic.Decision) {
	line := g.log.Info()
	if !d.Final || d.Target == "" {
		line = g.log.Warn()
	} else if d.Outcome == link.Succeeded {
		line = g.log.Debug()
	}
	line.Str("request", d.Request).Str("route", d.Route).Str("service", d.Service).Str("target", d.Target).
		Str("outcome", d.Outcome.String()).Int("status", d.Status).Int("attempt", d.Attempt).
		Dur("took_ms", d.Took).Dur("attempt_ms", d.Attempted).Uint64("configuration", uint64(d.Configuration)).
		Str("reason", d.Reason).Msg(d.Event)
}

// LogWriter writes lines to another writer on a goroutine of its own. When that
// is slow, lines are dropped and counted; nobody waits for it.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

var _ io.Writer = (*LogWriter)(nil)

// logLines is how many lines wait at most.
const logLines = 1024

// NewLogWriter returns a writer to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, logLines)}
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

// Dropped returns how many lines were dropped.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

func (l *LogWriter) run(w io.Writer) {
	for line := range l.lines {
		for more := len(l.lines); more > 0; more-- {
			line = append(line, <-l.lines...)
		}
		// There is nowhere to report that the log cannot be written.
		_, _ = w.Write(line)
	}
}
