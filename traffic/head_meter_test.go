package traffic

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
)

func TestHeadMeterFindsTheEndOfAHead(t *testing.T) {
	for name, test := range map[string]struct {
		head     string
		interims bool
		lines    int
		http2    bool
	}{
		"request":                {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", false, 3, false},
		"bare line feeds":        {"GET / HTTP/1.1\nHost: a\n\n", false, 3, false},
		"empty lines before it":  {"\r\n\r\nGET / HTTP/1.1\r\n\r\n", false, 4, false},
		"response":               {"HTTP/1.1 200 OK\r\n\r\n", true, 2, false},
		"after interim ones":     {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true, 7, false},
		"interim, of a request":  {"HTTP/1.1 103 Early Hints\r\n\r\n", false, 2, false},
		"the preface of HTTP/2":  {"PRI * HTTP/2.0\r\n\r\n", false, 2, true},
		"status that is no code": {"HTTP/1.1 abc\r\n\r\n", true, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			const body = "\n\n\nbody\n"
			for cut := range len(test.head) + 1 {
				is := is.New(t)
				m := &headMeter{interims: test.interims}
				text := test.head + body
				is.NoErr(m.scan([]byte(text[:cut])))
				is.NoErr(m.scan([]byte(text[cut:])))
				is.True(m.ended)
				is.Equal(m.lines, test.lines)
				is.Equal(m.bytes, len(test.head))
				is.Equal(m.http2, test.http2)
			}
		})
	}
}

func TestHeadMeterLimitsLinesAndMemory(t *testing.T) {
	is := is.New(t)
	m := &headMeter{}
	is.Equal(m.scan([]byte(strings.Repeat("a:\r\n", maxHeadLines+1))), errHeadLines)

	memory := caller.NewMemory(10 << 10)
	held, _ := memory.NewReservation(0)
	m = &headMeter{held: held}
	is.NoErr(m.scan([]byte("GET / HTTP/1.1\r\nHost: a\r\n")))
	is.Equal(memory.Used(), int64(0)) // an ordinary head reserves nothing
	is.NoErr(m.scan([]byte(strings.Repeat("a:\r\n", 30))))
	is.True(memory.Used() > 0)
	is.Equal(m.scan([]byte(strings.Repeat("a:\r\n", 100))), errHeadMemory)
	is.True(memory.Used() <= 10<<10)
}

// startMeteredServer starts a server whose connections measure heads, and returns its address.
func startMeteredServer(t *testing.T, heads *caller.Memory) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = w.Write(data)
	}))
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(NewCallerListener(l, heads)) }()
	return l.Addr().String()
}

// TestHeadsOfCallersAreBounded guards against a host that runs out of memory by the heads of
// requests: one with too many lines is answered 431, one without memory 503, as not run.
func TestHeadsOfCallersAreBounded(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: shop\r\n"
	for name, test := range map[string]struct {
		lines  int
		memory int64
		status int
	}{
		"ordinary":  {10, 0, http.StatusOK},
		"many":      {maxHeadLines - 10, 1 << 20, http.StatusOK},
		"too many":  {maxHeadLines + 10, 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		"endless":   {100_000, 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		"no memory": {maxHeadLines - 10, 10 << 10, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			heads := caller.NewMemory(test.memory)
			address := startMeteredServer(t, heads)
			text := sendRawThen(t, address, request+strings.Repeat("a:\r\n", test.lines)+"Connection: close\r\nContent-Length: 0\r\n\r\n", func(*net.TCPConn) error { return nil })
			is.Equal(parseStatuses(t, text), []int{test.status})
			is.Equal(strings.Contains(text, "Retry-After"), test.status == http.StatusServiceUnavailable)
			for range 100 {
				if heads.Used() == 0 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("%d bytes stay reserved", heads.Used())
		})
	}
}

// TestBodiesAreNotMeasuredAsHeads sends bodies of empty lines, and further requests behind them.
func TestBodiesAreNotMeasuredAsHeads(t *testing.T) {
	is := is.New(t)
	address := startMeteredServer(t, caller.NewMemory(1<<20))
	body := strings.Repeat("\r\n", 20_000)
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	last := "POST / HTTP/1.1\r\nHost: shop\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	text := sendRawThen(t, address, request+request+request+last, func(*net.TCPConn) error { return nil })
	is.Equal(parseStatuses(t, text), []int{200, 200, 200, 200})
}

// TestRequestsWithoutMemoryForTheirResponsesAreRefused guards against a host that sends more than
// it can hold the responses of. What is not sent is refused at once, as not run.
func TestRequestsWithoutMemoryForTheirResponsesAreRefused(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	target := g.addTarget("only", nil)
	g.start()
	g.gateway.cfg.Responses = caller.NewMemory(responseAllowance)
	is.Equal(g.send(http.MethodPost, "/write/x", "").status, http.StatusOK)
	is.Equal(g.gateway.cfg.Responses.Used(), int64(0))
	g.gateway.cfg.Responses = caller.NewMemory(responseAllowance - 1)
	got := g.send(http.MethodPost, "/write/x", "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(target.requestCount.Load(), int64(1))
}

// TestLongBodyIsForwardedWithoutMemoryToBufferIt guards against a sound response that fails because
// others hold the memory.
func TestLongBodyIsForwardedWithoutMemoryToBufferIt(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	long := strings.Repeat("sheet ", 9000)
	g.addTarget("only", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
	g.start()
	g.gateway.cfg.Responses = caller.NewMemory(responseAllowance)
	got := g.send(http.MethodPost, "/write/x", "")
	is.NoErr(got.err)
	is.Equal(got.body, long)
}

// TestLongHeadsOfTargetsFail guards against heads whose parsed lines take much more memory than
// their bytes.
func TestLongHeadsOfTargetsFail(t *testing.T) {
	for name, test := range map[string]struct {
		lines  int
		memory int64
		status int
	}{
		"sound":     {100, 1 << 20, http.StatusOK},
		"too many":  {maxHeadLines, 1 << 20, http.StatusBadGateway},
		"no memory": {maxHeadLines / 2, responseAllowance, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t)
			g.addRawTarget("only", func(id string) string {
				return prove("HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", test.lines)+"Content-Length: 0\r\n\r\n", id)
			}, true)
			g.start()
			g.gateway.cfg.Responses = caller.NewMemory(test.memory)
			is.Equal(g.send(http.MethodPost, "/write/x", "").status, test.status)
			is.Equal(g.gateway.cfg.Responses.Used(), int64(0))
		})
	}
}

// TestHTTP2IsNotMeasuredAsLines guards against frames of HTTP/2 that are taken for a head.
func TestHTTP2IsNotMeasuredAsLines(t *testing.T) {
	is := is.New(t)
	address := startMeteredServer(t, caller.NewMemory(1<<10))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	defer client.CloseIdleConnections()
	for range 5 {
		body := strings.Repeat("\n", 50_000)
		resp, err := client.Post("http://"+address+"/", "text/plain", strings.NewReader(body))
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(string(data), body)
		is.Equal(resp.ProtoMajor, 2)
		time.Sleep(20 * time.Millisecond) // the connection is idle
	}
}
