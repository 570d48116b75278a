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

// ObserveReach records whether an attempt of any outcome reached the target.
// Failures while the link is skipped do not count, so that concurrent attempts count
// once.
func (l *Link) ObserveReach(o Outcome, now time.Time) {
	switch o {
	case Canceled:
	case ConnectFailed:
		if !l.PassedOver(now) {
			skip := min(firstSkip<<min(l.connectFailures.Add(1)-1, 10), maxSkip)
			l.skipUntil.Store(clock.Nanos(now.Add(skip)))
		}
	default:
		l.connectFailures.Store(0)
		l.skipUntil.Store(0)
	}
}

// PassedOver reports whether the link should be skipped at present because the latest
// attempts could not open a connection: a request should take another one if it can.
func (l *Link) PassedOver(now time.Time) bool {
	until := l.skipUntil.Load()
	return until != 0 && clock.Nanos(now) < until
}

// Unreached reports whether the latest attempt could not open a connection.
func (l *Link) Unreached() bool { return l.connectFailures.Load() > 0 }
