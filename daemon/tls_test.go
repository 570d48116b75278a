package daemon

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/credential/credentialtest"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage/memory"
	"github.com/crocushinge/crocushinge/traffic"
)

// tlsSettings gives a test's settings TLS on all addresses.
func tlsSettings(s Settings, f credentialtest.Files) Settings {
	files := TLSSettings{CertificateFile: f.Certificate, KeyFile: f.Key, CAFile: f.CA}
	s.CallerTLS, s.APITLS, s.FleetTLS = files, files, files
	return s
}

// tlsClient returns an HTTP client that trusts a CA.
func tlsClient(t *testing.T, ca []byte) *http.Client {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// spy is a network that keeps all bytes of the connections of one host.
type spy struct {
	tcpNetwork
	mu   sync.Mutex
	seen bytes.Buffer
}

func (s *spy) Listen(address string) (net.Listener, error) {
	l, err := s.tcpNetwork.Listen(address)
	return spyListener{l, s}, err
}

func (s *spy) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := s.tcpNetwork.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return spyConn{c, s}, nil
}

func (s *spy) keep(p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen.Write(p)
}

func (s *spy) saw(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Contains(s.seen.Bytes(), []byte(text))
}

type spyListener struct {
	net.Listener
	spy *spy
}

func (l spyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return spyConn{c, l.spy}, nil
}

type spyConn struct {
	net.Conn
	spy *spy
}

func (c spyConn) Write(p []byte) (int, error) {
	c.spy.keep(p)
	return c.Conn.Write(p)
}

func (c spyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.spy.keep(p[:n])
	return n, err
}

// startSpied runs a daemon with a spy on its network.
func startSpied(t *testing.T, s Settings, store *memory.Platform) (*Daemon, *spy) {
	t.Helper()
	network := &spy{}
	return startWith(t, s, Platform{Table: store, Objects: store, HostList: store}, WithNetwork(network)), network
}

// With TLS, neither hosts among each other, nor with callers and operators,
// let a token travel in plain; requests are passed on as without it.
func TestTokensNeverTravelInPlainWithTLS(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sheet") }))
	defer target.Close()
	ca, files := credentialtest.NewAuthority(t), credentialtest.In(t.TempDir())
	files.Write(t, ca.Issue(), ca.PEM)
	settings := func(name string, seeds ...string) Settings {
		s := tlsSettings(testSettings(name, seeds...), files)
		s.FleetToken, s.OperatorToken = "secret-of-the-fleet", "secret-of-ana"
		return s
	}
	store := memory.New()
	first, spy1 := startSpied(t, settings("one"), store)
	second, spy2 := startSpied(t, settings("two", first.Self().FleetAddress), store)
	_, err := first.store.Propose(context.Background(), publish.Proposal{
		ID: "p1", Operator: "ana", Subject: "catalogue",
		Document: bytes.ReplaceAll(testContract(strings.TrimPrefix(target.URL, "http://")), []byte("idempotent: true"), []byte("idempotent: false")),
	})
	is.NoErr(err)
	for _, d := range []*Daemon{first, second} {
		eventually(t, "hosts know the contract and each other", func() bool {
			snap := d.control.snapshot.Load()
			return snap.Revision == 1 && len(snap.Peers) == 1
		})
	}
	client := tlsClient(t, ca.PEM)
	// The home of the id is the other host, which must get the request.
	req, _ := http.NewRequest(http.MethodGet, "https://"+first.Self().Address+"/catalogue/1", nil)
	req.Header.Set(traffic.HeaderKey, testKey)
	req.Header.Set(traffic.HeaderRequestID, second.IDPrefix()+"n1")
	resp, err := client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Header.Get(traffic.HeaderResult), "completed")
	is.Equal(first.handler.Counters().Forwarded.Load(), int64(1))
	is.Equal(resp.ProtoMajor, 2) // by ALPN

	req, _ = http.NewRequest(http.MethodGet, "https://"+first.Self().APIAddress+"/v1/status", nil)
	req.Header.Set("Authorization", "Bearer secret-of-ana")
	resp, err = client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	for _, s := range []*spy{spy1, spy2} {
		is.True(s.saw("GET /catalogue/1") || s == spy1) // the spy sees what is plain, as to targets
		for _, secret := range []string{"secret-of-the-fleet", "secret-of-ana", testKey} {
			is.True(!s.saw(secret))
		}
	}
}

// Plain HTTP to an address with TLS gets an answer that says why.
func TestPlainHTTPToTLSGetsAClearError(t *testing.T) {
	is := is.New(t)
	ca, files := credentialtest.NewAuthority(t), credentialtest.In(t.TempDir())
	files.Write(t, ca.Issue(), ca.PEM)
	d := startDaemon(t, tlsSettings(testSettings("one"), files), memory.New())
	for i, address := range []string{d.Self().Address, d.Self().APIAddress, d.Self().FleetAddress} {
		resp, err := http.Get("http://" + address + "/catalogue/1")
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		is.Equal(string(body), "Client sent an HTTP request to an HTTPS server.\n")
		eventually(t, "counted", func() bool { return d.credentials.refusedHandshakes.Load() == int64(i+1) })
	}
}

// A file at fault is logged once, counted at each reading, and changes nothing.
func TestCredentialFileAtFaultKeepsTheOldOne(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, files := credentialtest.NewAuthority(t), credentialtest.In(dir)
	files.Write(t, ca.Issue(), ca.PEM)
	s := tlsSettings(testSettings("one"), files)
	s.FleetTokenFile = filepath.Join(dir, "fleet.token")
	s.Operators = []OperatorSettings{{Name: "ana", TokenFile: filepath.Join(dir, "ana.token")}}
	write := func(name, text string) { is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)) }
	write("fleet.token", "old-fleet")
	write("ana.token", "old-ana")
	s.Operators[0].TokenSHA256 = strings.Repeat("ab", 32)
	var out bytes.Buffer
	c, err := newCredentials(&s, zerolog.New(&out))
	is.NoErr(err)
	keys := c.keys[fleetAPIServer].Load()

	write("fleet.token", "\n")
	write("ana.token", "")
	files.Write(t, ca.Issue(credentialtest.For("10.0.0.9")), nil)
	for range 3 {
		c.refresh()
	}
	is.True(c.acceptsPeer("old-fleet"))
	name, ok := c.operatorWith("old-ana")
	is.True(ok)
	is.Equal(name, "ana")
	is.Equal(c.keys[fleetAPIServer].Load(), keys)
	is.Equal(c.faults.Load(), int64(15)) // two tokens and three addresses, three times
	is.Equal(strings.Count(out.String(), "at fault"), 5)
	is.Equal(c.replaced.Load(), int64(0))

	write("fleet.token", "new-fleet\nold-fleet")
	write("ana.token", "new-ana")
	files.Write(t, ca.Issue(), nil)
	out.Reset()
	for range 2 {
		c.refresh()
	}
	is.Equal(strings.Count(out.String(), "credential replaced"), 5)
	is.Equal(c.replaced.Load(), int64(5))
	is.Equal(c.fleet.Load().Current(), "new-fleet")
	is.True(c.acceptsPeer("old-fleet"))
	is.Equal(c.oldTokens.Load(), int64(1))
	_, ok = c.operatorWith("old-ana")
	is.True(!ok)
	is.True(c.keys[fleetAPIServer].Load() != keys)
}

// The fleet's token alone opens nothing: a peer shows a certificate of the
// fleet's CA too.
func TestPeerWithoutClientCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	ca, files := credentialtest.NewAuthority(t), credentialtest.In(t.TempDir())
	files.Write(t, ca.Issue(), ca.PEM)
	d := startDaemon(t, tlsSettings(testSettings("one"), files), memory.New())
	call := func(certificates ...tls.Certificate) error {
		client := tlsClient(t, ca.PEM)
		client.Transport.(*http.Transport).TLSClientConfig.Certificates = certificates
		req, _ := http.NewRequest(http.MethodGet, "https://"+d.Self().FleetAddress+"/", nil)
		req.Header.Set(authorizationHeader, bearer+"fleet")
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	pair := func(c credentialtest.Certificate) tls.Certificate {
		p, err := tls.X509KeyPair(c.PEM, c.Key)
		is.NoErr(err)
		return p
	}
	is.True(call() != nil)
	is.True(call(pair(credentialtest.NewAuthority(t).Issue())) != nil)
	is.True(call(pair(ca.Issue(credentialtest.ServerOnly))) != nil)
	is.NoErr(call(pair(ca.Issue())))
}
