package link

import (
	"time"

	"github.com/crocushinge/crocushinge/internal/clock"
)

// A link on which no connection could be opened is passed over for firstPass,
// and twice as long after each further failure, longestPass at most.
const (
	firstPass   = time.Second
	longestPass = 16 * time.Second
)

// ObserveReach notes whether an attempt of any outcome reached the target. The
// failures of attempts that were under way together count once.
func (l *Link) ObserveReach(o Outcome, now time.Time) {
	switch o {
	case Canceled:
	case ConnectFailed:
		if !l.PassedOver(now) {
			pass := min(firstPass<<min(l.unreached.Add(1)-1, 10), longestPass)
			l.passUntil.Store(clock.Nanos(now.Add(pass)))
		}
	default:
		l.unreached.Store(0)
		l.passUntil.Store(0)
	}
}

// PassedOver reports whether the latest attempts could not open a connection,
// so that a request should take another link if there is one.
func (l *Link) PassedOver(now time.Time) bool {
	until := l.passUntil.Load()
	return until != 0 && clock.Nanos(now) < until
}

// Unreached reports whether the latest attempt could not open a connection.
func (l *Link) Unreached() bool { return l.unreached.Load() > 0 }
