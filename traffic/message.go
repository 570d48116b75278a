package traffic

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/caller"
)

// refusal is an answer of the system's own.
type refusal struct {
	status  int
	result  caller.Result
	message string
	// retryAfter is when the caller may try again; 0 says nothing of it.
	retryAfter time.Duration
}

// refuse is an answer to a request that was certainly not run.
func refuse(status int, message string) *refusal { return answer(status, caller.NotRun, message) }

func answer(status int, result caller.Result, message string) *refusal {
	return &refusal{status: status, result: result, message: message}
}

func (f *refusal) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set(HeaderResult, f.result.String())
	if f.retryAfter > 0 {
		seconds := int64((f.retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(f.message + "\n"))
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeaders copies end-to-end headers.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
	for _, list := range src["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			dst.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		dst.Del(name)
	}
}

// outbound builds the request to a target.
func outbound(ctx context.Context, req *request, address string) *http.Request {
	out := req.in.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.RequestURI = ""
	out.Close = false
	out.Header = make(http.Header, len(req.in.Header)+1)
	copyHeaders(out.Header, req.in.Header)
	out.Header.Del(HeaderKey)
	return out
}
