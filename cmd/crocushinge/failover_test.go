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

// unreachable is an address on which nothing listens.
const unreachable = "127.0.0.1:1"

// noLimit lets a silent host go on.
const noLimit = -1

func newTestClient(addresses ...string) *client {
	return &client{addresses: addresses, scheme: "http", token: anaToken, notes: io.Discard}
}

// silentHost reads one request of a connection and closes it without an
// answer. It counts the requests, and is gone once it had the limit of them.
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

// answeringHost answers every question and counts them.
func answeringHost(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = w.Write([]byte(`{"host":"two","target":"a/one"}`))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

func toolAt(api string, args ...string) (code int, out string) {
	return runTool(append([]string{"crocushinge", "--api", api, "--token", anaToken}, args...)...)
}

// A question that changes nothing goes on to the next host in any case.
func TestReadsFallOverToTheNextHost(t *testing.T) {
	is := is.New(t)
	silent, _ := silentHost(t, noLimit)
	good, _ := answeringHost(t)
	code, out := toolAt(unreachable+","+silent+","+good, "status")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "the host "+unreachable+" was not reached"))
	is.True(strings.Contains(out, "asking "+silent+" instead\n"))
	is.True(strings.Contains(out, "asking "+good+" instead\n"))
	is.True(strings.Contains(out, "host two"))

	code, out = toolAt(unreachable+","+unreachable, "status")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "was not reached"))
}

// A change goes on to the next host only when the first cannot have seen it.
func TestChangesFallOverOnlyWhenCertainlyNotSent(t *testing.T) {
	is := is.New(t)
	good, asked := answeringHost(t)
	code, out := toolAt(unreachable+","+good, "drain", "a", "one")
	is.Equal(code, exitOK)
	is.Equal(asked.Load(), int64(1))
	is.True(strings.Contains(out, "the host "+unreachable+" was not reached"))

	silent, seen := silentHost(t, noLimit)
	code, out = toolAt(silent+","+good, "drain", "a", "one")
	is.Equal(code, exitFailure)
	is.Equal(seen.Load(), int64(1))
	is.Equal(asked.Load(), int64(1)) // not asked again
	is.True(strings.Contains(out, silent+" may have made the change"))
	is.True(!strings.Contains(out, "instead"))
}

// A proposal whose answer was lost is repeated to the same host alone, also
// when that cannot be reached any more.
func TestLostAnswerKeepsTheProposalAtItsHost(t *testing.T) {
	is := is.New(t)
	good, asked := answeringHost(t)
	silent, seen := silentHost(t, 1)
	c := newTestClient(silent, good)
	r, err := c.propose(t.Context(), planned{subject: "a", document: []byte("x"), proposal: "p:a"})
	is.NoErr(err)
	is.Equal(exitCode(resultsError([]publish.Result{r})), exitUnknown)
	is.Equal(seen.Load(), int64(1))
	is.Equal(asked.Load(), int64(0))
}

// With --ca the tool talks by TLS only: no token leaves it in plain, nor for a
// host whose certificate the CA did not sign.
func TestToolByTLS(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, files := credentialtest.NewCA(t), credentialtest.FilesIn(dir)
	files.Write(t, ca.Issue(), ca.PEM)
	f := newFleetWith(t, files)
	code, out := f.tool("--ca", files.CA, "status")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "host one"))
	code, out = f.tool("--ca", files.CA, "status", "--fleet")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "on 1 of 1 host"))

	other := filepath.Join(dir, "other.pem")
	is.NoErr(os.WriteFile(other, credentialtest.NewCA(t).PEM, 0o600))
	code, out = f.tool("--ca", other, "drain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "was not reached"))
	is.True(strings.Contains(out, "certificate signed by unknown authority"))

	code, out = f.tool("status")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "Client sent an HTTP request to an HTTPS server."))

	code, out = f.tool("--ca", filepath.Join(dir, "none.pem"), "status")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "none.pem"))

	plain, seen := silentHost(t, noLimit)
	code, out = toolAt(plain, "--ca", files.CA, "drain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "was not reached"))
	is.Equal(seen.Load(), int64(0)) // no request in plain
}
