package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLinkWithConnectFailuresIsSkipped(t *testing.T) {
	is := is.New(t)
	l := newLink(2)
	is.True(!l.PassedOver(epoch))
	now := epoch
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 16} {
		for range 3 { // concurrent attempts
			l.ObserveReach(ConnectFailed, now)
		}
		l.ObserveReach(Canceled, now)
		now = now.Add(want*time.Second - 1)
		is.True(l.PassedOver(now))
		now = now.Add(1)
		is.True(!l.PassedOver(now))
	}
	for _, o := range []Outcome{Succeeded, Failed, TimedOut, Refused} {
		l.ObserveReach(ConnectFailed, now)
		is.True(l.PassedOver(now))
		l.ObserveReach(o, now)
		is.True(!l.PassedOver(now))
		l.ObserveReach(ConnectFailed, now)
		is.True(!l.PassedOver(now.Add(firstSkip))) // the backoff starts again at firstSkip
		l.ObserveReach(Succeeded, now)
	}
}
