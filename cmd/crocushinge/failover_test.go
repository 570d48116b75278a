package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/credential/credentialtest"
	"github.com/crocushinge/crocushinge/publish"
)

// unreachableAddress is an address at which nothing listens.
const unreachableAddress = "127.0.0.1:1"

// noLimit makes a silentHost listen until the test ends.
const noLimit = -1

func newTestClient(addresses ...string) *client {
	return &client{addresses: addresses, scheme: "http", token: anaToken, errOut: io.Discard}
}

// silentHost reads one request from each connection and closes the connection
// without a response. It counts the requests and stops listening after limit
// requests.
func silentHost(t *testing.T, limit int64) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				requests.Add(1)
			}
			if requests.Load() == limit {
				listener.Close()
			}
			conn.Close()
		}
	}()
	return listener.Addr().String(), requests
}

// respondingHost responds to every request and counts the requests.
func respondingHost(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = w.Write([]byte(`{"host":"two","target":"a/one"}`))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

func runToolAt(api string, args ...string) (code int, out string) {
	return runTool(append([]string{"crocushinge", "--api", api, "--token", anaToken}, args...)...)
}

// A request that changes nothing is sent to the next host, whether or not the
// first host may have received it.
func TestReadsFailOverToTheNextHost(t *testing.T) {
	is := is.New(t)
	silent, _ := silentHost(t, noLimit)
	responding, _ := respondingHost(t)
	code, out := runToolAt(unreachableAddress+","+silent+","+responding, "status")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "the host "+unreachableAddress+" was not reached"))
	is.True(strings.Contains(out, "asking "+silent+" instead\n"))
	is.True(strings.Contains(out, "asking "+responding+" instead\n"))
	is.True(strings.Contains(out, "host two"))

	code, out = runToolAt(unreachableAddress+","+unreachableAddress, "status")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "was not reached"))
}

// A change is sent to the next host only if the first host cannot have received
// it.
func TestChangesFailOverOnlyWhenCertainlyNotSent(t *testing.T) {
	is := is.New(t)
	responding, respondingRequests := respondingHost(t)
	code, out := runToolAt(unreachableAddress+","+responding, "drain", "a", "one")
	is.Equal(code, exitOK)
	is.Equal(respondingRequests.Load(), int64(1))
	is.True(strings.Contains(out, "the host "+unreachableAddress+" was not reached"))

	silent, silentRequests := silentHost(t, noLimit)
	code, out = runToolAt(silent+","+responding, "drain", "a", "one")
	is.Equal(code, exitFailure)
	is.Equal(silentRequests.Load(), int64(1))
	is.Equal(respondingRequests.Load(), int64(1)) // no failover
	is.True(strings.Contains(out, silent+" may have made the change"))
	is.True(!strings.Contains(out, "instead"))
}

// A proposal whose response was lost is repeated only to the same host, even if
// that host has become unreachable.
func TestProposalWithLostResponseStaysAtItsHost(t *testing.T) {
	is := is.New(t)
	responding, respondingRequests := respondingHost(t)
	silent, silentRequests := silentHost(t, 1)
	c := newTestClient(silent, responding)
	result, err := c.propose(t.Context(), plannedChange{subject: "a", document: []byte("x"), proposal: "p:a"})
	is.NoErr(err)
	is.Equal(exitCode(resultsError([]publish.Result{result})), exitUnknown)
	is.Equal(silentRequests.Load(), int64(1))
	is.Equal(respondingRequests.Load(), int64(0))
}

// With --ca the tool uses TLS only. It sends the token neither in plain text
// nor to a host whose certificate the CA did not sign.
func TestToolUsesTLS(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, files := credentialtest.NewCA(t), credentialtest.FilesIn(dir)
	files.Write(t, ca.Issue(), ca.PEM)
	f := newTestFleetWithTLS(t, files)
	code, out := f.run("--ca", files.CA, "status")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "host one"))
	code, out = f.run("--ca", files.CA, "status", "--fleet")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "on 1 of 1 host"))

	otherCA := filepath.Join(dir, "other.pem")
	is.NoErr(os.WriteFile(otherCA, credentialtest.NewCA(t).PEM, 0o600))
	code, out = f.run("--ca", otherCA, "drain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "was not reached"))
	is.True(strings.Contains(out, "certificate signed by unknown authority"))

	code, out = f.run("status")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "Client sent an HTTP request to an HTTPS server."))

	code, out = f.run("--ca", filepath.Join(dir, "none.pem"), "status")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "none.pem"))

	plainHost, requests := silentHost(t, noLimit)
	code, out = runToolAt(plainHost, "--ca", files.CA, "drain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "was not reached"))
	is.Equal(requests.Load(), int64(0)) // no request in plain text
}
