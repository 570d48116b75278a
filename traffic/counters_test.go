package traffic

import (
	"testing"

	"github.com/matryer/is"
)

func TestCountersFollowWhatCallersAreTold(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, echo)
	cut := rawTarget(t, answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false))
	a, b := newTestHost(t, "a", tg.address()), newTestHost(t, "b", cut)
	meet(a, b)
	id := a.home.Prefix() + "x"
	_ = b.order(id, "ten sheets")
	_ = b.order(id, "ninety sheets")
	_ = b.order("gone.1.1.x", "ten sheets")
	_ = b.ask(t.Context(), "GET", "/prices", "", "")
	a.Close() // waits for the handlers
	b.Close()
	is.Equal(a.handler.Counters().Completed.Load(), int64(1))
	is.Equal(a.handler.Counters().NotRun.Load(), int64(1))
	is.Equal(b.handler.Counters().Forwarded.Load(), int64(2))
	is.Equal(b.handler.Counters().Unknown.Load(), int64(1))
	is.Equal(b.handler.Counters().Cut.Load(), int64(1))
}
