package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/link"
)

func TestGatewayForwardsUnchanged(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	target := b.addTarget("t1", nil)
	b.start()
	got := b.send(http.MethodPut, "/write/a%2Fb?x=1&y=%20", "the body", "X-Left-Ms", "1200", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "from t1")
	is.Equal(got.header.Get(signatureHeader), "t1")
	in := target.requests()[0]
	is.Equal(in.Method, http.MethodPut)
	is.Equal(in.RequestURI, "/write/a%2Fb?x=1&y=%20")
	is.Equal(in.Host, "shop.example")
	is.Equal(target.bodies[0], "the body")
	is.Equal(in.Header.Get("X-Id"), "id-/write/a%2Fb?x=1&y=%20")
	is.Equal(in.Header.Get("X-For"), "t1")
	is.Equal(in.Header.Get("X-Own"), "kept")
	is.Equal(in.Header.Get("X-Hop"), "")
	left, err := strconv.Atoi(in.Header.Get("X-Left-Ms"))
	is.NoErr(err)
	is.True(left <= 1200 && left > 1000)
}

func TestGatewayCapsDeadlineHeaderAtRouteTimeout(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	target := b.addTarget("t1", nil)
	b.start()
	b.send(http.MethodGet, "/read/x", "", "X-Left-Ms", "60000")
	left, err := strconv.Atoi(target.requests()[0].Header.Get("X-Left-Ms"))
	is.NoErr(err)
	is.True(left <= 2000)
}

func TestGatewayRefusesInvalidRequests(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	target := b.addTarget("t1", nil)
	b.limits.HeaderBytes, b.limits.BodyBytes = 2000, 10
	b.start()
	is.Equal(b.send(http.MethodGet, "/other/", "").status, http.StatusNotFound)
	is.Equal(b.send(http.MethodGet, "/read", "").status, http.StatusNotFound)
	is.Equal(b.send(http.MethodGet, "/read/x", "", "X-Id", "").status, http.StatusBadRequest)
	is.Equal(b.send(http.MethodGet, "/read/x", "", "X-Long", strings.Repeat("x", 3000)).status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(b.send(http.MethodPost, "/write/x", "more than ten bytes").status, http.StatusRequestEntityTooLarge)
	is.Equal(target.requestCount.Load(), int64(0))
}

func TestGatewayRefusesWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.noConfiguration.Store(true)
	b.start()
	got := b.send(http.MethodGet, "/read/x", "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
}

func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestGatewayTriesAnotherTargetAfterNotRun(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	full := b.addTarget("full", respondNotRun)
	b.start()
	got := b.send(http.MethodPost, "/write/x", "")
	is.Equal(got.status, http.StatusServiceUnavailable) // truly not run
	pause, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(pause > 0 && pause < 2)
	is.Equal(full.requestCount.Load(), int64(1))

	b = newTestGateway(t)
	b.addTarget("full", respondNotRun)
	free := b.addTarget("free", nil)
	b.start()
	for range 20 {
		is.Equal(b.send(http.MethodPost, "/write/x", "").status, http.StatusOK)
	}
	is.Equal(free.requestCount.Load(), int64(20))
}

func TestGatewayTriesAnotherTargetAfter421(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.addTarget("moved", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	b.addTarget("right", nil)
	b.start()
	for range 10 {
		is.Equal(b.send(http.MethodPost, "/write/x", "").status, http.StatusOK)
	}
}

func TestGatewayLimitsAttemptsPerRoute(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	var all []*fakeTarget
	for i := range 5 {
		all = append(all, b.addTarget(fmt.Sprint("t", i), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	}
	b.start()
	is.Equal(b.send(http.MethodGet, "/read/x", "").status, http.StatusInternalServerError)
	var arrived int64
	for _, f := range all {
		arrived += f.requestCount.Load()
	}
	is.Equal(arrived, int64(2))
}

func TestGatewayLimitsRetriesByBudget(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.budget.Slack = 3
	var arrived atomic.Int64
	for i := range 3 {
		b.addTarget(fmt.Sprint("t", i), func(w http.ResponseWriter, _ *http.Request) {
			arrived.Add(1)
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	b.start()
	const requests = 60
	for range requests {
		b.send(http.MethodGet, "/read/x", "")
	}
	is.True(arrived.Load()-requests <= requests/5+3)
	is.True(b.gateway.Counters().BudgetSpent.Load() > 0)
}

func respondError(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(signatureHeader, "bad")
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "failed")
}

func TestGatewayRetriesOnlyIdempotentRequests(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	bad := b.addTarget("bad", respondError)
	b.start()
	got := b.send(http.MethodPost, "/write/x", "")
	is.Equal(got.status, http.StatusInternalServerError)
	is.Equal(got.body, "failed")
	is.Equal(got.header.Get(signatureHeader), "bad")
	is.Equal(bad.requestCount.Load(), int64(1))

	b = newTestGateway(t)
	b.addTarget("bad", respondError)
	b.addTarget("good", nil)
	b.start()
	for range 20 {
		is.Equal(b.send(http.MethodGet, "/read/x", "").status, http.StatusOK)
	}
}

// TestGatewayNeverRunsTwiceWhatMayRunOnce breaks connections at every stage of an
// answer.
func TestGatewaySendsNonIdempotentRequestOnce(t *testing.T) {
	for name, answer := range map[string]string{
		"no answer":       "",
		"half a head":     "HTTP/1.1 200 OK\r\nContent-",
		"half a body":     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"half a chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"no last chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"not HTTP":        "garbage\r\n\r\n",
		"encoded":         "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nhalf",
		"of another":      "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nhalf",
		"other protocol":  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"negative length": "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestGateway(t)
			first := b.addRawTarget("t1", func(string) string { return answer }, true)
			second := b.addRawTarget("t2", func(string) string { return answer }, true)
			b.start()
			got := b.send(http.MethodPost, "/write/x", "order")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(first.Load()+second.Load(), int64(1))
		})
	}
}

func TestGatewayRetriesBrokenIdempotentRequest(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.addRawTarget("broken", func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf" }, true)
	b.addTarget("good", nil)
	b.start()
	for range 10 {
		got := b.send(http.MethodGet, "/read/x", "")
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "from good")
	}
}

func TestGatewayForwardsResponseDelimitedByClose(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.addRawTarget("t1", func(id string) string { return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n\r\nall of it" }, true)
	b.start()
	got := b.send(http.MethodPost, "/write/x", "")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "all of it")
}

// TestGatewayKeepsExtraAnswersApart sends two answers to every request.
func TestGatewayIgnoresExtraResponses(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.addRawTarget("t1", func(id string) string {
		answer := func(body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		}
		return answer("own "+id) + answer("extra "+id)
	}, false)
	b.start()
	for i := range 50 {
		id := fmt.Sprint("n", i)
		got := b.send(http.MethodPost, "/write/x", "", "X-Id", id)
		if got.status == http.StatusOK {
			is.Equal(got.body, "own "+id)
		}
	}
}

func TestGatewayRespondsAtRouteTimeout(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	ended := make(chan struct{})
	b.addTarget("t1", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	b.start()
	began := time.Now()
	got := b.send(http.MethodPost, "/hasty/x", "", "X-Left-Ms", "60000")
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 500*time.Millisecond)
	<-ended // the target's work is cancelled
}

func TestGatewayCancelsWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	begun, ended := make(chan struct{}), make(chan struct{})
	b.addTarget("t1", func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	b.start()
	ctx, leave := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, b.server.URL+"/read/x", nil)
	req.Host = "shop.example"
	req.Header.Set("X-Id", "1")
	go func() { <-begun; leave() }()
	_, err := http.DefaultTransport.RoundTrip(req)
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target still works for a caller that has left")
	}
}

func TestGatewayAvoidsUnreachableTarget(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	b.addAddress("closed", closed.Addr().String())
	is.NoErr(closed.Close())
	b.addTarget("good", nil)
	b.start()
	for range 20 {
		is.Equal(b.send(http.MethodPost, "/write/x", "").status, http.StatusOK)
	}
}

func TestGatewayHedgesSlowIdempotentRequest(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	var hang atomic.Bool
	for i := range 4 {
		b.addTarget(fmt.Sprint("t", i), func(_ http.ResponseWriter, r *http.Request) {
			if hang.CompareAndSwap(true, false) {
				<-r.Context().Done()
				return
			}
			time.Sleep(10 * time.Millisecond)
		})
	}
	b.start()
	b.learnTypicalLatency()
	hang.Store(true)
	began := time.Now()
	is.Equal(b.send(http.MethodGet, "/read/x", "").status, http.StatusOK)
	is.True(time.Since(began) < time.Second)
	hang.Store(true)
	is.Equal(b.send(http.MethodPost, "/write/x", "").status, http.StatusGatewayTimeout) // never a second one
}

func TestGatewayForwardsLargeResponse(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	large := strings.Repeat("0123456789abcdef", 20_000)
	b.addTarget("t1", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) })
	b.start()
	got := b.send(http.MethodPost, "/write/x", "")
	is.NoErr(got.err)
	is.Equal(len(got.body), len(large))
	is.Equal(b.outcomes()[len(b.outcomes())-1], link.Succeeded)
}

func TestGatewayAbortsTruncatedLargeResponse(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.addRawTarget("t1", func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 200_000)
	}, true)
	b.start()
	got := b.send(http.MethodPost, "/write/x", "")
	is.True(got.err != nil) // must not look complete
}

func TestGatewayForwardsResponseSentBeforeBodyWasRead(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	var got atomic.Value
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	body := strings.Repeat("b", 300_000)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 3\r\n\r\nbad")
					time.Sleep(20 * time.Millisecond)
					data, _ := io.ReadAll(r.Body)
					got.Store(string(data))
				}
			}()
		}
	}()
	b.addAddress("t1", l.Addr().String())
	b.start()
	reply := b.send(http.MethodPost, "/write/x", body)
	is.Equal(reply.status, http.StatusBadRequest)
	time.Sleep(100 * time.Millisecond)
	if data, ok := got.Load().(string); ok {
		is.True(strings.HasPrefix(body, data)) // the rest of the body, or nothing
	}
}

func TestGatewayAnswersPipelinedRequestsInOrder(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.addTarget("t1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "0") {
			time.Sleep(30 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	b.start()
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	for i := range 5 {
		fmt.Fprintf(conn, "GET /read/%d HTTP/1.1\r\nHost: shop.example\r\nX-Id: p%d\r\n\r\n", i, i)
	}
	in := bufio.NewReader(conn)
	for i := range 5 {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(data), fmt.Sprintf("/read/%d", i))
	}
}

func TestGatewayRefusesSmuggledRequests(t *testing.T) {
	for name, head := range map[string]string{
		"two lengths":         "Content-Length: 4\r\nContent-Length: 5\r\n",
		"unknown encoding":    "Transfer-Encoding: xchunked\r\n",
		"space before colon":  "Content-Length : 4\r\n",
		"bare line in header": "X-A: b\nX-C d\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestGateway(t)
			target := b.addTarget("t1", nil)
			b.start()
			conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: s\r\n%s\r\n0\r\n\r\nGET /read/hidden HTTP/1.1\r\nHost: shop.example\r\nX-Id: h\r\n\r\n", head)
			_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, _ = io.ReadAll(conn)
			for _, r := range target.requests() {
				is.True(r.URL.Path != "/read/hidden")
			}
		})
	}
}

func TestGatewayClosesConnectionsDuringShutdown(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	target := b.addTarget("t1", nil)
	b.start()
	b.leaving.Store(true)
	got := b.send(http.MethodPost, "/write/x", "")
	is.Equal(got.status, http.StatusOK)
	is.True(got.closesConnection)
	b.closing.Store(true)
	got = b.send(http.MethodPost, "/write/x", "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.closesConnection)
	is.Equal(target.requestCount.Load(), int64(1))
}

func TestGatewayRefusesWhenQueueExceedsObjective(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	target := b.addTarget("t1", func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) })
	b.start()
	b.learnTypicalLatency()
	served := target.requestCount.Load()
	b.service.Targets()[0].AddOthers(5000) // what other hosts have in flight
	began := time.Now()
	got := b.send(http.MethodPost, "/write/x", "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < b.routes[1].Objective/8) // longer holds would be late refusals
	is.Equal(target.requestCount.Load(), served)
}

func TestGatewayLogsEveryFailedAttempt(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.addTarget("bad", respondError)
	b.start()
	b.send(http.MethodGet, "/read/x", "", "X-Id", "the-id")
	is.True(len(b.decisions) >= 1)
	for _, l := range b.decisions {
		is.Equal(l.Request, "the-id")
		is.Equal(l.Route, "read")
		is.Equal(int(l.Configuration), 7)
	}
	is.True(b.decisions[len(b.decisions)-1].Final())
}

// TestEveryAnswerHasALine: an answer at the end of the time says what was tried and how
// long the request had.
func TestGatewayLogsResponseAtTimeout(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.routes[0].Timeout = 150 * time.Millisecond
	// The first attempt fails, and the second one gets no answer in time.
	var first atomic.Bool
	for _, name := range []string{"t1", "t2"} {
		b.addTarget(name, func(w http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			<-r.Context().Done()
		})
	}
	b.start()
	got := b.send(http.MethodGet, "/read/x", "")
	is.Equal(got.status, http.StatusInternalServerError)
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.decisions[len(b.decisions)-1]
	is.Equal(last.Event, FailurePassedOn)
	is.Equal(last.Limit, 150*time.Millisecond)
	is.True(last.Target != "")
}
