package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/credential/credentialtest"
	"github.com/crocushinge/crocushinge/traffic"
)

// benchServer starts a caller server on the loopback interface, with TLS when keys
// aren't nil, and returns its address.
func benchServer(b *testing.B, keys *credential.Reloadable[*credential.Keys]) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &server{listener: listener, http: traffic.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "sheet")
	}))}
	if keys != nil {
		s.enableTLS(keys)
	}
	go func() { _ = s.serve() }()
	b.Cleanup(func() { _ = s.http.Close() })
	return listener.Addr().String()
}

// cpuTime returns the CPU time used by this process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureCPU reports the mean CPU time of a call of round, for client and server
// together.
func measureCPU(b *testing.B, round func()) {
	round()
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	for range b.N {
		round()
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkTLS measures the cost of TLS for a request on an open connection and for
// a request on a new connection. The CPU time is that of client and server, which
// run in the same process.
func BenchmarkTLS(b *testing.B) {
	ca, files := credentialtest.NewCA(b), credentialtest.FilesIn(b.TempDir())
	files.Write(b, ca.Issue(), ca.PEM)
	names := credential.KeyFiles{Certificate: files.Certificate, Key: files.Key, CA: files.CA}
	keys, err := credential.LoadKeys(names, credential.KeyOptions{})
	if err != nil {
		b.Fatal(err)
	}
	mutual, err := credential.LoadKeys(names, credential.KeyOptions{Mutual: true})
	if err != nil {
		b.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca.PEM)
	dial := (&net.Dialer{}).DialContext
	for _, bench := range []struct {
		name      string
		keys      *credential.Reloadable[*credential.Keys]
		scheme    string
		transport *http.Transport
	}{
		{"plain", nil, "http", &http.Transport{}},
		{"tls", keys, "https", &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}},
		{"tls-http2", keys, "https", &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, ForceAttemptHTTP2: true}},
		{"tls-mutual", mutual, "https", &http.Transport{DialTLSContext: credential.DialWithKeys(dial, mutual)}},
	} {
		url := bench.scheme + "://" + benchServer(b, bench.keys) + "/"
		b.Run("request/"+bench.name, func(b *testing.B) { measureCPU(b, func() { benchGet(b, bench.transport, url) }) })
		b.Run("connection/"+bench.name, func(b *testing.B) {
			measureCPU(b, func() {
				bench.transport.CloseIdleConnections()
				benchGet(b, bench.transport, url)
			})
		})
		bench.transport.CloseIdleConnections()
	}
}

func benchGet(b *testing.B, t *http.Transport, url string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}
