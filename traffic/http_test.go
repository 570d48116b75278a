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

// listen serves a host with the settings that a daemon uses for callers, and
// returns its address.
func listen(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(handler)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// front starts a host before targets and returns its address. The option
// changes the contract.
func front(t *testing.T, change func(*contract.Contract), targets ...string) string {
	t.Helper()
	h := newHostCore(t, memory.New(), "a")
	h.snapshot.Store(h.newSnapshot(targets))
	if change != nil {
		change(h.snapshot.Load().Services["shop"].Contract)
	}
	return listen(t, h.handler)
}

func useH2C(c *contract.Contract) { c.Protocol = contract.H2C }

// h2cTarget serves HTTP/2 without TLS only.
func h2cTarget(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// client returns a caller that speaks one protocol.
func client(t *testing.T, h2c bool) *http.Client {
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
	r.Header.Set(HeaderKey, testKey)
	return r
}

// eachProtocol runs a test for every pair of protocols of caller and target.
func eachProtocol(t *testing.T, target http.HandlerFunc, test func(*testing.T, *http.Client, string)) {
	for _, callerH2C := range []bool{false, true} {
		for _, targetH2C := range []bool{false, true} {
			t.Run(fmt.Sprintf("caller h2c %v, target h2c %v", callerH2C, targetH2C), func(t *testing.T) {
				var address string
				if targetH2C {
					address = front(t, useH2C, h2cTarget(t, target))
				} else {
					address = front(t, nil, newTarget(t, target).address())
				}
				test(t, client(t, callerH2C), "http://"+address)
			})
		}
	}
}

func TestStreamsBothWaysAsItArrives(t *testing.T) {
	turn := func(w http.ResponseWriter, r *http.Request) {
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
	eachProtocol(t, turn, func(t *testing.T, c *http.Client, url string) {
		is := is.New(t)
		body, send := io.Pipe()
		r := newRequest(t, http.MethodPost, url+"/prices", body)
		go func() { _, _ = io.WriteString(send, "one\n") }()
		resp, err := c.Do(r)
		is.NoErr(err)
		defer resp.Body.Close()
		in := bufio.NewReader(resp.Body)
		for _, line := range []string{"one\n", "two\n", "three\n"} {
			if line != "one\n" {
				_, err := io.WriteString(send, line)
				is.NoErr(err)
			}
			got, err := in.ReadString('\n')
			is.NoErr(err)
			is.Equal(got, "got "+line)
		}
		is.NoErr(send.Close())
		_, err = in.ReadString('\n')
		is.Equal(err, io.EOF)
	})
}

func TestTrailersPassBothWays(t *testing.T) {
	sum := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "Announced")
		_, _ = io.Copy(w, r.Body)
		w.Header().Set("Announced", r.Trailer.Get("Checksum"))
		w.Header().Set(http.TrailerPrefix+"Late", r.Header.Get("Te"))
		w.Header().Set(http.TrailerPrefix+HeaderResult, "forged")
	}
	eachProtocol(t, sum, func(t *testing.T, c *http.Client, url string) {
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

func TestHopByHopHeadersStayOnTheirConnection(t *testing.T) {
	is := is.New(t)
	seen := make(chan http.Header, 1)
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set("Connection", "X-Private-Answer, crocushinge-request-id")
		w.Header().Set("X-Private-Answer", "1")
		w.Header().Set("Proxy-Authenticate", "Basic")
		w.Header().Set(HeaderResult, "not-run")
		w.Header().Set(HeaderStatus, "999")
		w.Header().Set("Via", "1.1 other")
	})
	address := front(t, nil, target.address())
	r := newRequest(t, http.MethodGet, "http://"+address+"/prices", nil)
	r.Header.Set("Connection", "X-Private, x-other")
	r.Header.Set("X-Private", "1")
	r.Header.Set("X-Other", "1")
	r.Header.Set("Keep-Alive", "timeout=5")
	r.Header.Set("Proxy-Connection", "keep-alive")
	r.Header.Set("X-End", "stays")
	r.Header.Set("Via", "1.0 first")
	r.Header.Set("Forwarded", "for=10.9.9.9")
	resp, err := client(t, false).Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	got := <-seen
	for _, name := range []string{"X-Private", "X-Other", "Keep-Alive", "Proxy-Connection", "Connection", "Te", HeaderKey} {
		is.Equal(got.Values(name), nil)
	}
	is.Equal(got.Get("X-End"), "stays")
	is.Equal(got.Values("Via"), []string{"1.0 first", "1.1 crocushinge"})
	is.Equal(got.Values("Forwarded"), []string{"for=10.9.9.9", `for=127.0.0.1;host="` + address + `";proto=http`})
	is.Equal(resp.Header.Values("X-Private-Answer"), nil)
	is.Equal(resp.Header.Values("Proxy-Authenticate"), nil)
	is.Equal(resp.Header.Values(HeaderResult), []string{"completed"})
	is.Equal(resp.Header.Values(HeaderStatus), nil)
	is.True(resp.Header.Get(HeaderRequestID) != "")
	is.Equal(resp.Header.Values("Via"), []string{"1.1 other", "1.1 crocushinge"})
}

func TestInterimAnswersPass(t *testing.T) {
	hint := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "page")
	}
	eachProtocol(t, hint, func(t *testing.T, c *http.Client, url string) {
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

func TestAnswersWithoutBody(t *testing.T) {
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
	eachProtocol(t, serve, func(t *testing.T, c *http.Client, url string) {
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

func TestTruncatedAnswerAbortsTheCaller(t *testing.T) {
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "200000")
		_, _ = io.WriteString(w, strings.Repeat("x", 150000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	eachProtocol(t, cut, func(t *testing.T, c *http.Client, url string) {
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

func TestBodyLargerThanTheContractAllows(t *testing.T) {
	drain := func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	large := strings.Repeat("x", 1<<16+1)
	eachProtocol(t, drain, func(t *testing.T, c *http.Client, url string) {
		is := is.New(t)
		for _, test := range []struct {
			path   string
			body   io.Reader
			result string
		}{
			{"/prices", strings.NewReader(large), "not-run"},
			{"/orders", strings.NewReader(large), "not-run"},
			{"/orders", io.NopCloser(strings.NewReader(large)), "not-run"},
			// The target may have begun to work on a streamed body.
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

func TestCancellationPassesOverEachProtocol(t *testing.T) {
	canceled := make(chan struct{}, 1)
	entered := make(chan struct{}, 1)
	wait := func(_ http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-r.Context().Done()
		canceled <- struct{}{}
	}
	eachProtocol(t, wait, func(t *testing.T, c *http.Client, url string) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-entered
			cancel()
		}()
		_, err := c.Do(newRequest(t, http.MethodGet, url+"/prices", nil).WithContext(ctx))
		if err == nil {
			t.Fatal("the canceled request was answered")
		}
		<-canceled
	})
}

func TestConnectionsToATargetAreBounded(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	conns := make(map[string]bool)
	entered := make(chan struct{}, 4)
	release := make(chan struct{})
	target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		conns[r.RemoteAddr] = true
		mu.Unlock()
		entered <- struct{}{}
		<-release
	})
	h := newHostCore(t, memory.New(), "a")
	snap := h.newSnapshot([]string{target.address()})
	snap.Services["shop"].Contract.Targets[0].Connections = 9
	snap.EntrySets = map[string]host.EntrySet{"shop": {Members: make([]host.Identity, 4)}}
	h.snapshot.Store(snap)
	url := "http://" + listen(t, h.handler)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			resp, err := client(t, false).Do(newRequest(t, http.MethodGet, url+"/prices", nil))
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

func TestH2CRequestsShareAConnection(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	conns := make(map[string]bool)
	address := front(t, useH2C, h2cTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		conns[r.RemoteAddr] = true
	}))
	c := client(t, false)
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
