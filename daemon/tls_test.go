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

// tlsSettings returns settings with TLS on all addresses.
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

// recordingNetwork is a TCP network that records all bytes sent and received by a
// host.
type recordingNetwork struct {
	tcpNetwork
	mu       sync.Mutex
	recorded bytes.Buffer
}

func (n *recordingNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.tcpNetwork.Listen(address)
	return recordingListener{l, n}, err
}

func (n *recordingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.tcpNetwork.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return recordingConn{c, n}, nil
}

func (n *recordingNetwork) record(p []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recorded.Write(p)
}

func (n *recordingNetwork) hasRecorded(text string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return bytes.Contains(n.recorded.Bytes(), []byte(text))
}

type recordingListener struct {
	net.Listener
	network *recordingNetwork
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return recordingConn{c, l.network}, nil
}

type recordingConn struct {
	net.Conn
	network *recordingNetwork
}

func (c recordingConn) Write(p []byte) (int, error) {
	c.network.record(p)
	return c.Conn.Write(p)
}

func (c recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.record(p[:n])
	return n, err
}

// startRecordedDaemon runs a daemon and records its network traffic.
func startRecordedDaemon(t *testing.T, s Settings, store *memory.Platform) (*Daemon, *recordingNetwork) {
	t.Helper()
	network := &recordingNetwork{}
	return startDaemonWith(t, s, Platform{Table: store, Objects: store, HostList: store}, WithNetwork(network)), network
}

// With TLS on all addresses, no token or key appears in cleartext on the network,
// whether between hosts or between a host and callers or operators. Requests are
// still forwarded to their home host.
func TestTokensAreNeverSentInCleartextWithTLS(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sheet") }))
	defer target.Close()
	ca, files := credentialtest.NewCA(t), credentialtest.FilesIn(t.TempDir())
	files.Write(t, ca.Issue(), ca.PEM)
	settings := func(name string, seeds ...string) Settings {
		s := tlsSettings(testSettings(name, seeds...), files)
		s.FleetToken, s.OperatorToken = "secret-of-the-fleet", "secret-of-ana"
		return s
	}
	store := memory.New()
	first, firstNetwork := startRecordedDaemon(t, settings("one"), store)
	second, secondNetwork := startRecordedDaemon(t, settings("two", first.Self().FleetAddress), store)
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
	// The home host of the id is the second host, so the first must forward the
	// request to it.
	req, _ := http.NewRequest(http.MethodGet, "https://"+first.Self().Address+"/catalogue/1", nil)
	req.Header.Set(traffic.HeaderAccountKey, testKey)
	req.Header.Set(traffic.HeaderRequestID, second.IDPrefix()+"n1")
	resp, err := client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Header.Get(traffic.HeaderResult), "completed")
	is.Equal(first.handler.Counters().Forwarded.Load(), int64(1))
	is.Equal(resp.ProtoMajor, 2) // negotiated by ALPN

	req, _ = http.NewRequest(http.MethodGet, "https://"+first.Self().APIAddress+"/v1/status", nil)
	req.Header.Set("Authorization", "Bearer secret-of-ana")
	resp, err = client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	for _, network := range []*recordingNetwork{firstNetwork, secondNetwork} {
		// The second host sent the request to the target without TLS, which shows
		// that cleartext is recorded.
		is.True(network.hasRecorded("GET /catalogue/1") || network == firstNetwork)
		for _, secret := range []string{"secret-of-the-fleet", "secret-of-ana", testKey} {
			is.True(!network.hasRecorded(secret))
		}
	}
}

// A plain HTTP request to an address with TLS gets a response that names the cause.
// The failed handshake is counted.
func TestPlainHTTPToTLSGetsAClearError(t *testing.T) {
	is := is.New(t)
	ca, files := credentialtest.NewCA(t), credentialtest.FilesIn(t.TempDir())
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
		eventually(t, "the failed handshake is counted", func() bool { return d.credentials.failedHandshakes.Load() == int64(i+1) })
	}
}

// An invalid credential file is counted at each read but logged only once. The previous
// credential stays in force until the file is valid again.
func TestInvalidCredentialFileKeepsThePreviousCredential(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, files := credentialtest.NewCA(t), credentialtest.FilesIn(dir)
	files.Write(t, ca.Issue(), ca.PEM)
	s := tlsSettings(testSettings("one"), files)
	s.FleetTokenFile = filepath.Join(dir, "fleet.token")
	s.Operators = []OperatorSettings{{Name: "ana", TokenFile: filepath.Join(dir, "ana.token")}}
	write := func(name, text string) { is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)) }
	write("fleet.token", "old-fleet")
	write("ana.token", "old-ana")
	s.Operators[0].TokenSHA256 = strings.Repeat("ab", 32)
	var logged bytes.Buffer
	c, err := newCredentials(&s, zerolog.New(&logged))
	is.NoErr(err)
	keys := c.tlsKeys[fleetAPIServer].Load()

	write("fleet.token", "\n")
	write("ana.token", "")
	files.Write(t, ca.Issue(credentialtest.WithIP("10.0.0.9")), nil)
	for range 3 {
		c.refresh()
	}
	is.True(c.acceptsFleetToken("old-fleet"))
	name, ok := c.operatorByToken("old-ana")
	is.True(ok)
	is.Equal(name, "ana")
	is.Equal(c.tlsKeys[fleetAPIServer].Load(), keys)
	is.Equal(c.rejectedReads.Load(), int64(15)) // two token files and the keys of three addresses, three times
	is.Equal(strings.Count(logged.String(), "invalid credential files"), 5)
	is.Equal(c.replacements.Load(), int64(0))

	write("fleet.token", "new-fleet\nold-fleet")
	write("ana.token", "new-ana")
	files.Write(t, ca.Issue(), nil)
	logged.Reset()
	for range 2 {
		c.refresh()
	}
	is.Equal(strings.Count(logged.String(), "credential replaced"), 5)
	is.Equal(c.replacements.Load(), int64(5))
	is.Equal(c.fleetTokens.Load().Current(), "new-fleet")
	is.True(c.acceptsFleetToken("old-fleet"))
	is.Equal(c.oldTokenCalls.Load(), int64(1))
	_, ok = c.operatorByToken("old-ana")
	is.True(!ok)
	is.True(c.tlsKeys[fleetAPIServer].Load() != keys)
}

// A fleet token isn't enough to connect to the fleet address: a peer must also
// present a client certificate signed by the CA of the fleet.
func TestPeerWithoutClientCertificateIsRefused(t *testing.T) {
	is := is.New(t)
	ca, files := credentialtest.NewCA(t), credentialtest.FilesIn(t.TempDir())
	files.Write(t, ca.Issue(), ca.PEM)
	d := startDaemon(t, tlsSettings(testSettings("one"), files), memory.New())
	call := func(certificates ...tls.Certificate) error {
		client := tlsClient(t, ca.PEM)
		client.Transport.(*http.Transport).TLSClientConfig.Certificates = certificates
		req, _ := http.NewRequest(http.MethodGet, "https://"+d.Self().FleetAddress+"/", nil)
		req.Header.Set(authorizationHeader, bearerPrefix+"fleet")
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
	is.True(call(pair(credentialtest.NewCA(t).Issue())) != nil)
	is.True(call(pair(ca.Issue(credentialtest.ServerOnly))) != nil)
	is.NoErr(call(pair(ca.Issue())))
}
