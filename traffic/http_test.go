package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/storage/memory"
)

// startServer starts a server with the handler and the settings of NewServer, and
// returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(handler)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startHost starts a host with the given targets and returns its address. change, if not
// nil, changes the contract.
func startHost(t *testing.T, change func(*contract.Contract), targets ...string) string {
	t.Helper()
	h := newHostWithoutServer(t, memory.New(), "a")
	h.snapshot.Store(h.newSnapshot(targets))
	if change != nil {
		change(h.snapshot.Load().Services["shop"].Contract)
	}
	return startServer(t, h.handler)
}

func useH2C(c *contract.Contract) { c.Protocol = contract.H2C }

// newH2CTarget starts a target that supports only HTTP/2 without TLS, and returns its
// address.
func newH2CTarget(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// newClient returns a client that uses HTTP/2 without TLS or HTTP/1.1.
func newClient(t *testing.T, h2c bool) *http.Client {
	t.Helper()
	transport := &http.Transport{DisableCompression: true, Protocols: new(http.Protocols)}
	transport.Protocols.SetHTTP1(!h2c)
	transport.Protocols.SetUnencryptedHTTP2(h2c)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func newRequest(t *testing.T, method, url string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderAccountKey, testKey)
	return r
}

// forEachProtocolPair runs a test for every combination of the protocols of caller and
// target. The test gets the caller's client and the URL of the host.
func forEachProtocolPair(t *testing.T, target http.HandlerFunc, test func(*testing.T, *http.Client, string)) {
	for _, callerH2C := range []bool{false, true} {
		for _, targetH2C := range []bool{false, true} {
			t.Run(fmt.Sprintf("caller h2c %v, target h2c %v", callerH2C, targetH2C), func(t *testing.T) {
				var address string
				if targetH2C {
					address = startHost(t, useH2C, newH2CTarget(t, target))
				} else {
					address = startHost(t, nil, newCountingTarget(t, target).address())
				}
				test(t, newClient(t, callerH2C), "http://"+address)
			})
		}
	}
}

func TestStreamingInBothDirections(t *testing.T) {
	echoLines := func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		in := bufio.NewReader(r.Body)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(w, "got "+line)
			_ = http.NewResponseController(w).Flush()
		}
	}
	forEachProtocolPair(t, echoLines, func(t *testing.T, c *http.Client, url string) {
		is := is.New(t)
		body, bodyWriter := io.Pipe()
		r := newRequest(t, http.MethodPost, url+"/prices", body)
		go func() { _, _ = io.WriteString(bodyWriter, "one\n") }()
		resp, err := c.Do(r)
		is.NoErr(err)
		defer resp.Body.Close()
		in := bufio.NewReader(resp.Body)
		for _, line := range []string{"one\n", "two\n", "three\n"} {
			if line != "one\n" {
				_, err := io.WriteString(bodyWriter, line)
				is.NoErr(err)
			}
			got, err := in.ReadString('\n')
			is.NoErr(err)
			is.Equal(got, "got "+line)
		}
		is.NoErr(bodyWriter.Close())
		_, err = in.ReadString('\n')
		is.Equal(err, io.EOF)
	})
}

func TestTrailersAreForwarded(t *testing.T) {
	copyTrailer := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "Announced")
		_, _ = io.Copy(w, r.Body)
		w.Header().Set("Announced", r.Trailer.Get("Checksum"))
		w.Header().Set(http.TrailerPrefix+"Late", r.Header.Get("Te"))
		w.Header().Set(http.TrailerPrefix+HeaderResult, "forged")
	}
	forEachProtocolPair(t, copyTrailer, func(t *testing.T, c *http.Client, url string) {
		is := is.New(t)
		for _, path := range []string{"/prices", "/orders"} {
			r := newRequest(t, http.MethodPost, url+path, io.NopCloser(strings.NewReader("sheet")))
			r.Header.Set("Te", "trailers")
			r.Trailer = http.Header{"Checksum": {"42"}, "Crocushinge-Key": {"secret"}}
			resp, err := c.Do(r)
			is.NoErr(err)
			data, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(data), "sheet")
			is.Equal(resp.Trailer.Get("Announced"), "42")
			is.Equal(resp.Trailer.Get("Late"), "trailers")
			is.Equal(resp.Trailer.Get(HeaderResult), "")
		}
	})
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	is := is.New(t)
	received := make(chan http.Header, 1)
	target := newCountingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		w.Header().Set("Connection", "X-Private-Response, crocushinge-request-id")
		w.Header().Set("X-Private-Response", "1")
		w.Header().Set("Proxy-Authenticate", "Basic")
		w.Header().Set(HeaderResult, "not-run")
		w.Header().Set(HeaderStatus, "999")
		w.Header().Set("Via", "1.1 other")
	})
	address := startHost(t, nil, target.address())
	r := newRequest(t, http.MethodGet, "http://"+address+"/prices", nil)
	r.Header.Set("Connection", "X-Private, x-other")
	r.Header.Set("X-Private", "1")
	r.Header.Set("X-Other", "1")
	r.Header.Set("Keep-Alive", "timeout=5")
	r.Header.Set("Proxy-Connection", "keep-alive")
	r.Header.Set("X-End-To-End", "kept")
	r.Header.Set("Via", "1.0 first")
	r.Header.Set("Forwarded", "for=10.9.9.9")
	resp, err := newClient(t, false).Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	got := <-received
	for _, name := range []string{"X-Private", "X-Other", "Keep-Alive", "Proxy-Connection", "Connection", "Te", HeaderAccountKey} {
		is.Equal(got.Values(name), nil)
	}
	is.Equal(got.Get("X-End-To-End"), "kept")
	is.Equal(got.Values("Via"), []string{"1.0 first", "1.1 crocushinge"})
	is.Equal(got.Values("Forwarded"), []string{"for=10.9.9.9", `for=127.0.0.1;host="` + address + `";proto=http`})
	is.Equal(resp.Header.Values("X-Private-Response"), nil)
	is.Equal(resp.Header.Values("Proxy-Authenticate"), nil)
	is.Equal(resp.Header.Values(HeaderResult), []string{"completed"})
	is.Equal(resp.Header.Values(HeaderStatus), nil)
	is.True(resp.Header.Get(HeaderRequestID) != "")
	is.Equal(resp.Header.Values("Via"), []string{"1.1 other", "1.1 crocushinge"})
}

func TestInterimResponsesAreForwarded(t *testing.T) {
	sendEarlyHints := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "page")
	}
	forEachProtocolPair(t, sendEarlyHints, func(t *testing.T, c *http.Client, url string) {
		is := is.New(t)
		var mu sync.Mutex
		var links []string
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
				mu.Lock()
				defer mu.Unlock()
				links = append(links, fmt.Sprint(code, " ", header.Get("Link")))
				return nil
			},
		})
		resp, err := c.Do(newRequest(t, http.MethodGet, url+"/prices", nil).WithContext(ctx))
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(data), "page")
		is.Equal(resp.Header.Get("Link"), "")
		mu.Lock()
		defer mu.Unlock()
		is.Equal(links, []string{"103 </style.css>; rel=preload"})
	})
}

func TestResponsesWithoutBody(t *testing.T) {
	serve := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", `"7"`)
		switch r.URL.Path {
		case "/prices/none":
			w.WriteHeader(http.StatusNoContent)
		case "/prices/same":
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("Content-Length", "4096")
			w.WriteHeader(http.StatusOK)
		}
	}
	forEachProtocolPair(t, serve, func(t *testing.T, c *http.Client, url string) {
		is := is.New(t)
		for _, test := range []struct {
			method, path string
			status       int
			length       int64
		}{
			{http.MethodHead, "/prices/sheet", http.StatusOK, 4096},
			{http.MethodGet, "/prices/none", http.StatusNoContent, 0},
			{http.MethodGet, "/prices/same", http.StatusNotModified, 0},
		} {
			resp, err := c.Do(newRequest(t, test.method, url+test.path, nil))
			is.NoErr(err)
			data, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(len(data), 0)
			is.Equal(resp.StatusCode, test.status)
			is.Equal(max(0, resp.ContentLength), test.length)
			is.Equal(resp.Header.Get("Etag"), `"7"`)
			is.Equal(resp.Header.Get(HeaderResult), "completed")
		}
	})
}

func TestTruncatedResponseAbortsConnectionToCaller(t *testing.T) {
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "200000")
		_, _ = io.WriteString(w, strings.Repeat("x", 150000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	forEachProtocolPair(t, truncate, func(t *testing.T, c *http.Client, url string) {
		is := is.New(t)
		resp, err := c.Do(newRequest(t, http.MethodGet, url+"/prices", nil))
		if err != nil {
			return
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		is.True(err != nil)
	})
}

func TestBodyLargerThanMaxBody(t *testing.T) {
	discard := func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	large := strings.Repeat("x", 1<<16+1)
	forEachProtocolPair(t, discard, func(t *testing.T, c *http.Client, url string) {
		is := is.New(t)
		for _, test := range []struct {
			path   string
			body   io.Reader
			result string
		}{
			{"/prices", strings.NewReader(large), "not-run"},
			{"/orders", strings.NewReader(large), "not-run"},
			{"/orders", io.NopCloser(strings.NewReader(large)), "not-run"},
			// A body of unknown length is streamed, so that the target may already run
			// the request.
			{"/prices", io.NopCloser(strings.NewReader(large)), "unknown"},
		} {
			resp, err := c.Do(newRequest(t, http.MethodPost, url+test.path, test.body))
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			is.Equal(resp.Header.Get(HeaderResult), test.result)
		}
		resp, err := c.Do(newRequest(t, http.MethodPost, url+"/prices", strings.NewReader(large[:1<<16])))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
	})
}

func TestCancellationIsForwardedOverEachProtocol(t *testing.T) {
	canceled := make(chan struct{}, 1)
	entered := make(chan struct{}, 1)
	awaitCancel := func(_ http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-r.Context().Done()
		canceled <- struct{}{}
	}
	forEachProtocolPair(t, awaitCancel, func(t *testing.T, c *http.Client, url string) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-entered
			cancel()
		}()
		_, err := c.Do(newRequest(t, http.MethodGet, url+"/prices", nil).WithContext(ctx))
		if err == nil {
			t.Fatal("the canceled request got a response")
		}
		<-canceled
	})
}

func TestConnectionLimitPerTarget(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	conns := make(map[string]bool)
	entered := make(chan struct{}, 4)
	release := make(chan struct{})
	target := newCountingTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		conns[r.RemoteAddr] = true
		mu.Unlock()
		entered <- struct{}{}
		<-release
	})
	h := newHostWithoutServer(t, memory.New(), "a")
	snap := h.newSnapshot([]string{target.address()})
	snap.Services["shop"].Contract.Targets[0].Connections = 9
	snap.EntrySets = map[string]host.EntrySet{"shop": {Members: make([]host.Identity, 4)}}
	h.snapshot.Store(snap)
	url := "http://" + startServer(t, h.handler)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			resp, err := newClient(t, false).Do(newRequest(t, http.MethodGet, url+"/prices", nil))
			if err == nil {
				resp.Body.Close()
			}
		})
	}
	<-entered
	<-entered
	select {
	case <-entered:
		t.Error("a third connection was opened; the share is 9 * 0.9 / 4 = 2")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(conns), 2)
}

func TestH2CRequestsShareConnection(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	conns := make(map[string]bool)
	address := startHost(t, useH2C, newH2CTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		conns[r.RemoteAddr] = true
	}))
	c := newClient(t, false)
	for range 5 {
		resp, err := c.Do(newRequest(t, http.MethodGet, "http://"+address+"/prices", nil))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(conns), 1)
}
