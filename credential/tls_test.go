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

// wire joins a dialer with a server by pipes, and keeps what the dialer wrote.
type wire struct {
	serve func(net.Conn)
	mu    sync.Mutex
	sent  bytes.Buffer
}

func (w *wire) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	server := &buffered{Conn: far, waiting: make(chan []byte, maxWaiting)}
	go server.run()
	go w.serve(server)
	return &wireConn{near, w}, nil
}

// maxWaiting is how many writes wait for a reader.
const maxWaiting = 64

// buffered is the end of a pipe whose writes do not wait for the reader, as
// with TCP.
type buffered struct {
	net.Conn
	waiting chan []byte
	once    sync.Once
}

func (b *buffered) run() {
	for p := range b.waiting {
		_, _ = b.Conn.Write(p)
	}
	b.Conn.Close()
}

func (b *buffered) Write(p []byte) (int, error) {
	b.waiting <- bytes.Clone(p)
	return len(p), nil
}

func (b *buffered) Close() error {
	b.once.Do(func() { close(b.waiting) })
	return nil
}

type wireConn struct {
	net.Conn
	wire *wire
}

func (c *wireConn) Write(p []byte) (int, error) {
	c.wire.mu.Lock()
	c.wire.sent.Write(p)
	c.wire.mu.Unlock()
	return c.Conn.Write(p)
}

// echo answers each handshake with the keys in force, and then all it reads.
func echo(keys *credential.Watched[*credential.Keys]) func(net.Conn) {
	config := credential.ServerConfig(keys)
	return func(conn net.Conn) {
		defer conn.Close()
		server := tls.Server(conn, config)
		_, _ = io.Copy(server, server)
	}
}

func pool(t *testing.T, ca *credentialtest.Authority) *credential.Watched[*x509.CertPool] {
	t.Helper()
	p := x509.NewCertPool()
	p.AppendCertsFromPEM(ca.PEM)
	return credential.Fixed(p)
}

// keysOf returns keys that are not mutual.
func keysOf(t *testing.T, c credentialtest.Certificate) (*credential.Watched[*credential.Keys], credentialtest.Files) {
	t.Helper()
	f := credentialtest.In(t.TempDir())
	f.Write(t, c, nil)
	keys, err := credential.WatchKeys(credential.KeyFiles{Certificate: f.Certificate, Key: f.Key}, credential.KeyOptions{})
	if err != nil {
		t.Fatal(err)
	}
	return keys, f
}

// A dialer refuses a server that it cannot trust, as an error of dialing, so
// that nothing was sent.
func TestDialRefusesServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca, other := credentialtest.NewAuthority(t), credentialtest.NewAuthority(t)
		good, _ := keysOf(t, ca.Issue())
		short, _ := keysOf(t, ca.Issue(credentialtest.Valid(time.Now(), time.Now().Add(time.Hour))))
		time.Sleep(2 * time.Hour) // the short-lived one expires
		hears := func(conn net.Conn) {
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
			ca      *credentialtest.Authority
			address string
			want    string
		}{
			"good":       {echo(good), ca, "127.0.0.1:1", ""},
			"wrong CA":   {echo(good), other, "127.0.0.1:1", "unknown authority"},
			"wrong name": {echo(good), ca, "127.0.0.2:1", "certificate is valid for 127.0.0.1, not 127.0.0.2"},
			"expired":    {echo(short), ca, "127.0.0.1:1", "certificate has expired"},
			"no TLS":     {hears, ca, "127.0.0.1:1", "first record does not look like a TLS handshake"},
			"no answer":  {silent, ca, "127.0.0.1:1", "deadline exceeded"},
		} {
			is := is.New(t)
			w := &wire{serve: test.serve}
			conn, err := credential.DialCAs(w.dial, pool(t, test.ca))(t.Context(), "tcp", test.address)
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

// A new certificate is shown in the next handshake, also to a dialer that
// trusts only the new CA, while a connection of before goes on.
func TestNewKeysReachNewConnectionsAndCutNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		old, next := credentialtest.NewAuthority(t), credentialtest.NewAuthority(t)
		keys, files := keysOf(t, old.Issue())
		w := &wire{serve: echo(keys)}
		say := func(conn net.Conn) {
			_, err := conn.Write([]byte("sheet"))
			is.NoErr(err)
			answer := make([]byte, 5)
			_, err = io.ReadFull(conn, answer)
			is.NoErr(err)
			is.Equal(string(answer), "sheet")
		}
		before, err := credential.DialCAs(w.dial, pool(t, old))(t.Context(), "tcp", "127.0.0.1:1")
		is.NoErr(err)
		say(before)

		files.Write(t, next.Issue(), nil)
		replaced, err := keys.Refresh()
		is.NoErr(err)
		is.True(replaced)
		say(before)
		after, err := credential.DialCAs(w.dial, pool(t, next))(t.Context(), "tcp", "127.0.0.1:1")
		is.NoErr(err)
		say(after)
		_, err = credential.DialCAs(w.dial, pool(t, old))(t.Context(), "tcp", "127.0.0.1:1")
		is.True(err != nil)
		before.Close()
		after.Close()
		is.True(!bytes.Contains(w.sent.Bytes(), []byte("sheet")))
	})
}
