package traffic

import (
	"context"
	"net/http"
	"slices"
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

// writeFraction writes the answer with a Retry-After in fractions of a second.
// Only callers that are known to read these get it.
func (f *refusal) writeFraction(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(f.message + "\n"))
}

// outbound builds the request to a target.
func outbound(ctx context.Context, req *request, address string) *http.Request {
	ctx = withConnSettings(ctx, connSettings{req.routing.Contract.Protocol, req.connections})
	out := newOutbound(ctx, req.in, address)
	out.Header.Del(HeaderKey)
	if req.in.Body != nil && req.in.Body != http.NoBody {
		out.Body = &limitedBody{
			ReadCloser: req.in.Body,
			remaining:  req.routing.Contract.MaxBody,
			onEOF:      func() { copyTrailers(out.Trailer, req.in.Trailer) },
		}
	}
	return out
}

// newOutbound builds the request to an address from a caller's request. The body
// is still the caller's.
func newOutbound(ctx context.Context, in *http.Request, address string) *http.Request {
	out := in.WithContext(ctx)
	url := *in.URL
	out.URL = &url
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.RequestURI = ""
	out.Close = false
	out.Header = make(http.Header, len(in.Header)+addedHeaders)
	copyHeaders(out.Header, in.Header)
	// This host has taken the body, or takes it while it sends it on.
	out.Header.Del("Expect")
	if acceptsTrailers(in.Header) {
		out.Header.Set("Te", "trailers")
	}
	addVia(out.Header, in.ProtoMajor, in.ProtoMinor)
	addForwarded(out.Header, in)
	setTrailer(out, in)
	return out
}

// addedHeaders is how many headers an outbound request has more than the
// caller's.
const addedHeaders = 4

// setTrailer announces the trailers of an inbound request to the target. Their
// values are known once the body has been read.
func setTrailer(out, in *http.Request) {
	out.Trailer = nil
	if len(in.Trailer) == 0 {
		return
	}
	out.Trailer = make(http.Header, len(in.Trailer))
	copyTrailers(out.Trailer, in.Trailer)
	// Trailers need a body without an announced length.
	out.ContentLength = -1
}

// answerHeaders copies the headers of a target's answer. The names of this
// system's protocol are its own.
func answerHeaders(dst http.Header, resp *http.Response) {
	for name, values := range resp.Header {
		if !strings.HasPrefix(name, protocolPrefix) {
			dst[name] = clip(values)
		}
	}
	dropHopByHop(dst, resp.Header)
	addVia(dst, resp.ProtoMajor, resp.ProtoMinor)
	for name := range resp.Trailer {
		if !isHopByHop(name) && !strings.HasPrefix(name, protocolPrefix) {
			dst.Add("Trailer", name)
		}
	}
	if len(dst["Trailer"]) > 0 {
		// HTTP/1.1 has trailers only where no length is announced.
		delete(dst, "Content-Length")
	}
}

// writeTrailers passes the trailers of an answer on, after its body.
func writeTrailers(w http.ResponseWriter, resp *http.Response) {
	announced := w.Header().Values("Trailer")
	trailers := make(http.Header, len(resp.Trailer))
	copyTrailers(trailers, resp.Trailer)
	for name, values := range trailers {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
}
