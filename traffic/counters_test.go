package traffic

import (
	"testing"

	"github.com/matryer/is"
)

func TestCountersCountResults(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	truncating := newRawTarget(t, respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false))
	a, b := newTestHost(t, "a", target.address()), newTestHost(t, "b", truncating)
	registerPeers(a, b)
	id := a.home.Prefix() + "x"
	_ = b.sendOrder(id, "ten sheets")
	_ = b.sendOrder(id, "ninety sheets")
	_ = b.sendOrder("gone.1.1.x", "ten sheets")
	_ = b.send(t.Context(), "GET", "/prices", "", "")
	a.Close() // waits until the handlers have returned
	b.Close()
	is.Equal(a.handler.Counters().Completed.Load(), int64(1))
	is.Equal(a.handler.Counters().NotRun.Load(), int64(1))
	is.Equal(b.handler.Counters().Forwarded.Load(), int64(2))
	is.Equal(b.handler.Counters().Unknown.Load(), int64(1))
	is.Equal(b.handler.Counters().Aborted.Load(), int64(1))
}
