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

// sendAndReceive sends one request over a connection and receives its answer.
func sendAndReceive(t *testing.T, near, far net.Conn) {
	t.Helper()
	go func() { _, _ = far.Write([]byte("answer")) }()
	go func() { _, _ = io.ReadFull(far, make([]byte, len("request"))) }()
	if _, err := near.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(near, make([]byte, len("answer"))); err != nil {
		t.Fatal(err)
	}
}

// The transport may give a connection to the next request before the one that
// it has just answered looks at its answer.
func TestConnectionReuseKeepsReceivedStateOfPreviousRequest(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &trackedConn{Conn: near, idleLimits: newIdleLimits()}
	first, second := &connTrace{}, &connTrace{}
	first.clientTrace(nil).GotConn(httptrace.GotConnInfo{Conn: conn})
	sendAndReceive(t, conn, far)
	second.clientTrace(nil).GotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	is.True(!first.respondedBeforeSend())
	is.True(second.respondedBeforeSend()) // nothing was received for it
	sendAndReceive(t, conn, far)
	is.True(!second.respondedBeforeSend())
}

func TestResponseBytesBeforeRequestAreDetected(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &trackedConn{Conn: near, idleLimits: newIdleLimits()}
	use := &connTrace{}
	use.clientTrace(nil).GotConn(httptrace.GotConnInfo{Conn: conn})
	go func() { _, _ = far.Write([]byte("answer")) }()
	_, err := io.ReadFull(conn, make([]byte, len("answer")))
	is.NoErr(err)
	go func() { _, _ = io.ReadFull(far, make([]byte, len("request"))) }()
	_, err = conn.Write([]byte("request"))
	is.NoErr(err)
	is.True(use.respondedBeforeSend())
}

// Requests that wait for a connection take it over as soon as it has answered.
func TestEmptyResponsesOnReusedConnection(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
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
				if r := h.order("", "order"); r.result != "completed" {
					unknown.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.Equal(unknown.Load(), int64(0))
}
