package link

import (
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
)

// Exponential backoff of a link on which no connection could be opened: it is skipped
// for firstSkip, and for twice as long after each further failure, up to maxSkip.
const (
	firstSkip = time.Second
	maxSkip   = 16 * time.Second
)

// ObserveReachability records whether an attempt of any outcome reached the target.
// Failures while the link is skipped do not count, so that concurrent attempts count
// once.
func (l *Link) ObserveReachability(o Outcome, now time.Time) {
	switch o {
	case Canceled:
	case ConnectFailed:
		if !l.Skipped(now) {
			skip := min(firstSkip<<min(l.connectFailures.Add(1)-1, 10), maxSkip)
			l.skipUntil.Store(clock.Nanos(now.Add(skip)))
		}
	default:
		l.connectFailures.Store(0)
		l.skipUntil.Store(0)
	}
}

// Skipped reports whether the link should be skipped at present because the latest
// attempts could not open a connection. A request should then use another link if it
// can.
func (l *Link) Skipped(now time.Time) bool {
	until := l.skipUntil.Load()
	return until != 0 && clock.Nanos(now) < until
}

// ConnectFailing reports whether the latest attempt could not open a connection.
func (l *Link) ConnectFailing() bool { return l.connectFailures.Load() > 0 }
