package credential

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Protocols by ALPN (RFC 7301).
const (
	alpnHTTP1 = "http/1.1"
	alpnHTTP2 = "h2"
)

// handshakeTimeout limits a TLS handshake from this side.
const handshakeTimeout = 2 * time.Second

func newKeys(pair tls.Certificate, cas *x509.CertPool, expires time.Time, opts KeyOptions) *Keys {
	k := &Keys{expires: expires}
	k.server = &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{alpnHTTP2, alpnHTTP1},
		Time:         opts.Now,
	}
	k.client = newClientConfig(cas, opts.Now)
	if opts.Mutual {
		k.server.MinVersion, k.client.MinVersion = tls.VersionTLS13, tls.VersionTLS13
		k.server.ClientAuth, k.server.ClientCAs = tls.RequireAndVerifyClientCert, cas
		k.client.Certificates = []tls.Certificate{pair}
	}
	return k
}

func newClientConfig(cas *x509.CertPool, now func() time.Time) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    cas,
		NextProtos: []string{alpnHTTP1},
		Time:       now,
	}
}

// ServerConfig returns the settings of a TLS server that shows, in each
// handshake, the certificate in force at that moment.
func ServerConfig(keys *Watched[*Keys]) *tls.Config {
	first := keys.Load().server
	return &tls.Config{
		MinVersion: first.MinVersion,
		NextProtos: first.NextProtos,
		Time:       first.Time,
		// A resumed session would outlive the CA that its client was checked by.
		SessionTicketsDisabled: first.ClientAuth == tls.RequireAndVerifyClientCert,
		GetConfigForClient:     func(*tls.ClientHelloInfo) (*tls.Config, error) { return keys.Load().server, nil },
	}
}

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DialKeys returns a Dial that connects by TLS to other hosts, by the keys in
// force at that moment.
func DialKeys(dial Dial, keys *Watched[*Keys]) Dial {
	return dialTLS(dial, func() *tls.Config { return keys.Load().client })
}

// DialCAs returns a Dial that connects by TLS to hosts whose certificates were
// signed by one of the CAs; nil takes the machine's.
func DialCAs(dial Dial, cas *Watched[*x509.CertPool]) Dial {
	return dialTLS(dial, func() *tls.Config { return newClientConfig(cas.Load(), nil) })
}

// dialTLS returns a Dial that ends with the handshake. Its errors are of
// net.OpError with the operation "dial": no byte of a request was sent.
func dialTLS(dial Dial, config func() *tls.Config) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := config().Clone()
		if c.ServerName, _, err = net.SplitHostPort(address); err != nil {
			c.ServerName = address
		}
		secure := tls.Client(conn, c)
		if err := secure.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Addr: conn.RemoteAddr(), Err: errors.Wrap(err, "TLS handshake")}
		}
		return secure, nil
	}
}
