package credential_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/credential/credentialtest"
)

// pipeNetwork connects a dialer to a server by pipes, and records the bytes that the
// dialer wrote.
type pipeNetwork struct {
	serve func(net.Conn)
	mu    sync.Mutex
	sent  bytes.Buffer
}

func (n *pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	client, remote := net.Pipe()
	server := &bufferedConn{Conn: remote, writes: make(chan []byte, maxQueuedWrites)}
	go server.run()
	go n.serve(server)
	return &recordingConn{client, n}, nil
}

// maxQueuedWrites is how many writes are queued for a reader.
const maxQueuedWrites = 64

// bufferedConn is one end of a pipe. Its writes do not block until the other end
// reads, as with TCP.
type bufferedConn struct {
	net.Conn
	writes chan []byte
	once   sync.Once
}

func (b *bufferedConn) run() {
	for p := range b.writes {
		_, _ = b.Conn.Write(p)
	}
	b.Conn.Close()
}

func (b *bufferedConn) Write(p []byte) (int, error) {
	b.writes <- bytes.Clone(p)
	return len(p), nil
}

func (b *bufferedConn) Close() error {
	b.once.Do(func() { close(b.writes) })
	return nil
}

// recordingConn is a connection that records all written bytes.
type recordingConn struct {
	net.Conn
	network *pipeNetwork
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	c.network.sent.Write(p)
	c.network.mu.Unlock()
	return c.Conn.Write(p)
}

// echoServer returns a server that uses the current keys in each handshake, and then
// sends back all that it receives.
func echoServer(keys *credential.Reloadable[*credential.Keys]) func(net.Conn) {
	config := credential.ServerConfig(keys)
	return func(conn net.Conn) {
		defer conn.Close()
		server := tls.Server(conn, config)
		_, _ = io.Copy(server, server)
	}
}

// caPool returns a pool that holds one CA.
func caPool(t *testing.T, ca *credentialtest.CA) *credential.Reloadable[*x509.CertPool] {
	t.Helper()
	p := x509.NewCertPool()
	p.AppendCertsFromPEM(ca.PEM)
	return credential.Static(p)
}

// loadServerKeys returns the keys of a certificate without mutual TLS.
func loadServerKeys(t *testing.T, c credentialtest.Certificate) (*credential.Reloadable[*credential.Keys], credentialtest.Files) {
	t.Helper()
	f := credentialtest.FilesIn(t.TempDir())
	f.Write(t, c, nil)
	keys, err := credential.LoadKeys(credential.KeyFiles{Certificate: f.Certificate, Key: f.Key}, credential.KeyOptions{})
	if err != nil {
		t.Fatal(err)
	}
	return keys, f
}

// A server that fails verification is reported as a dial error, from which callers
// conclude that no request was sent.
func TestDialRefusesServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca, other := credentialtest.NewCA(t), credentialtest.NewCA(t)
		valid, _ := loadServerKeys(t, ca.Issue())
		expired, _ := loadServerKeys(t, ca.Issue(credentialtest.WithValidity(time.Now(), time.Now().Add(time.Hour))))
		time.Sleep(2 * time.Hour) // the certificate that is valid for an hour expires
		plainHTTP := func(conn net.Conn) {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			_, _ = conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
			conn.Close()
		}
		silent := func(conn net.Conn) {
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}
		for name, test := range map[string]struct {
			serve   func(net.Conn)
			ca      *credentialtest.CA
			address string
			want    string
		}{
			"valid":         {echoServer(valid), ca, "127.0.0.1:1", ""},
			"wrong CA":      {echoServer(valid), other, "127.0.0.1:1", "unknown authority"},
			"wrong address": {echoServer(valid), ca, "127.0.0.2:1", "certificate is valid for 127.0.0.1, not 127.0.0.2"},
			"expired":       {echoServer(expired), ca, "127.0.0.1:1", "certificate has expired"},
			"no TLS":        {plainHTTP, ca, "127.0.0.1:1", "first record does not look like a TLS handshake"},
			"no response":   {silent, ca, "127.0.0.1:1", "deadline exceeded"},
		} {
			is := is.New(t)
			network := &pipeNetwork{serve: test.serve}
			conn, err := credential.DialWithCAs(network.dial, caPool(t, test.ca))(t.Context(), "tcp", test.address)
			if test.want == "" {
				is.NoErr(err)
				conn.Close()
				continue
			}
			var op *net.OpError
			t.Log(name, err)
			is.True(errors.As(err, &op))
			is.Equal(op.Op, "dial")
			is.True(bytes.Contains([]byte(err.Error()), []byte(test.want)))
		}
	})
}

// After new keys are loaded, new connections use them, so that a dialer that trusts
// only the new CA can connect. Connections opened before stay usable.
func TestNewKeysApplyToNewConnectionsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		oldCA, newCA := credentialtest.NewCA(t), credentialtest.NewCA(t)
		keys, files := loadServerKeys(t, oldCA.Issue())
		network := &pipeNetwork{serve: echoServer(keys)}
		checkEcho := func(conn net.Conn) {
			_, err := conn.Write([]byte("sheet"))
			is.NoErr(err)
			response := make([]byte, 5)
			_, err = io.ReadFull(conn, response)
			is.NoErr(err)
			is.Equal(string(response), "sheet")
		}
		oldConn, err := credential.DialWithCAs(network.dial, caPool(t, oldCA))(t.Context(), "tcp", "127.0.0.1:1")
		is.NoErr(err)
		checkEcho(oldConn)

		files.Write(t, newCA.Issue(), nil)
		replaced, err := keys.Reload()
		is.NoErr(err)
		is.True(replaced)
		checkEcho(oldConn)
		newConn, err := credential.DialWithCAs(network.dial, caPool(t, newCA))(t.Context(), "tcp", "127.0.0.1:1")
		is.NoErr(err)
		checkEcho(newConn)
		_, err = credential.DialWithCAs(network.dial, caPool(t, oldCA))(t.Context(), "tcp", "127.0.0.1:1")
		is.True(err != nil)
		oldConn.Close()
		newConn.Close()
		is.True(!bytes.Contains(network.sent.Bytes(), []byte("sheet")))
	})
}
