package traffic

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// refusalOf is the refusal of a request by a target. The id is left out if it is empty.
func refusalOf(id string, status string) string {
	head := "HTTP/1.1 " + status + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "X-Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// TestGatewayDoesNotBelieveARefusalOfAnotherRequest lets a target that runs a request write the
// refusal of an earlier one once more.
func TestGatewayDoesNotBelieveARefusalOfAnotherRequest(t *testing.T) {
	for name, repeated := range map[string]string{
		"with the earlier id": refusalOf("id-/write/earlier", "503 Service Unavailable"),
		"without an id":       refusalOf("", "503 Service Unavailable"),
		"429 without an id":   refusalOf("", "429 Too Many Requests"),
		"421 without an id":   refusalOf("", "421 Misdirected Request"),
		"421 with another id": refusalOf("id-/write/earlier", "421 Misdirected Request"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t)
			requests := g.addRawTarget("a", func(string) string { return repeated }, false)
			other := g.addRawTarget("b", func(string) string { return repeated }, false)
			g.start()
			is.Equal(g.send(http.MethodPost, "/write/x", "").status, http.StatusBadGateway) // it may have run
			is.Equal(requests.Load()+other.Load(), int64(1))                                // and it is not sent again
		})
	}
}

// TestHeadThatIsCutShortIsNoAnswer closes the connection after each byte of a response head, on
// both interfaces.
func TestHeadThatIsCutShortIsNoAnswer(t *testing.T) {
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signature: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	}
	whole := len(head("id-/write/x"))
	var cut int
	g := newTestGateway(t)
	g.addConnTarget("a", func(conn net.Conn) {
		serveRawResponses(conn, func(id string) string { return head(id)[:cut] }, true, new(atomic.Int64))
	})
	g.start()
	h := newTestHost(t, "a", newRawTarget(t, func(conn net.Conn, _ int, r *http.Request) bool {
		_, _ = io.WriteString(conn, head(r.Header.Get(HeaderRequestID))[:cut])
		return false
	}))
	for cut = range whole - 1 {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			is := is.New(t)
			got := g.send(http.MethodPost, "/write/x", "")
			is.Equal(got.status, http.StatusBadGateway)
			is.True(!strings.Contains(fmt.Sprint(got.header), "Signature"))
			order := h.sendOrder("", "one")
			is.Equal(order.result, "unknown")
		})
	}
}
