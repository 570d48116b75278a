package traffic

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
)

// sendAndReceive sends one request over a connection and receives its response.
func sendAndReceive(t *testing.T, client, server net.Conn) {
	t.Helper()
	go func() { _, _ = server.Write([]byte("response")) }()
	go func() { _, _ = io.ReadFull(server, make([]byte, len("request"))) }()
	if _, err := client.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(client, make([]byte, len("response"))); err != nil {
		t.Fatal(err)
	}
}

// TestConnectionReuseKeepsReceivedStateOfPreviousRequest covers a connection that is assigned to
// the next request. The response of the previous request must not count as early.
func TestConnectionReuseKeepsReceivedStateOfPreviousRequest(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	conn := &trackedConn{Conn: client, idleLimits: newIdleLimits()}
	first, second := &connTrace{}, &connTrace{}
	first.clientTrace(nil).GotConn(httptrace.GotConnInfo{Conn: conn})
	sendAndReceive(t, conn, server)
	first.settle(true)
	second.clientTrace(nil).GotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	is.True(!first.respondedBeforeSend())
	is.True(second.respondedBeforeSend()) // nothing was received for the second request
	sendAndReceive(t, conn, server)
	is.True(!second.respondedBeforeSend())
}

func TestResponseBytesBeforeRequestAreDetected(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	conn := &trackedConn{Conn: client, idleLimits: newIdleLimits()}
	trace := &connTrace{}
	trace.clientTrace(nil).GotConn(httptrace.GotConnInfo{Conn: conn})
	go func() { _, _ = server.Write([]byte("response")) }()
	_, err := io.ReadFull(conn, make([]byte, len("response")))
	is.NoErr(err)
	go func() { _, _ = io.ReadFull(server, make([]byte, len("request"))) }()
	_, err = conn.Write([]byte("request"))
	is.NoErr(err)
	is.True(trace.respondedBeforeSend())
}

// TestEmptyResponsesOnReusedConnection uses one connection for concurrent requests. A
// response without a body frees the connection for a waiting request at once, possibly
// before the handler of the earlier request has checked that response.
func TestEmptyResponsesOnReusedConnection(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	h := newTestHost(t, "a", target.address())
	snap := h.newSnapshot([]string{target.address()})
	snap.Services["shop"].Contract.Targets[0].Connections = 1
	snap.Services["shop"].Contract.Queue = contract.Queue{Length: 1000, Wait: 5 * time.Second}
	h.snapshot.Store(snap)
	var group sync.WaitGroup
	var unknown atomic.Int64
	for range 8 {
		group.Go(func() {
			for range 50 {
				if r := h.sendOrder("", "order"); r.result != "completed" {
					unknown.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.Equal(unknown.Load(), int64(0))
}
