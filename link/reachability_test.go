package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLinkWithConnectFailuresIsSkipped(t *testing.T) {
	is := is.New(t)
	l := newLink(2)
	is.True(!l.Skipped(epoch))
	now := epoch
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 16} {
		for range 3 { // concurrent attempts
			l.ObserveReachability(ConnectFailed, now)
		}
		l.ObserveReachability(Canceled, now)
		now = now.Add(want*time.Second - 1)
		is.True(l.Skipped(now))
		now = now.Add(1)
		is.True(!l.Skipped(now))
	}
	for _, o := range []Outcome{Succeeded, Failed, TimedOut, Refused} {
		l.ObserveReachability(ConnectFailed, now)
		is.True(l.Skipped(now))
		l.ObserveReachability(o, now)
		is.True(!l.Skipped(now))
		l.ObserveReachability(ConnectFailed, now)
		is.True(!l.Skipped(now.Add(firstSkip))) // the backoff starts again at firstSkip
		l.ObserveReachability(Succeeded, now)
	}
}
