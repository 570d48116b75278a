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

// refusal is a response of this host itself, instead of a target's.
type refusal struct {
	status  int
	result  caller.Result
	message string
	// retryAfter is the value of the Retry-After header; 0 for none.
	retryAfter time.Duration
	// challenge is the value of the WWW-Authenticate header; empty for none.
	challenge string
	// wait is the expected wait for a slot, and ahead the number of requests ahead, if that is why
	// the request is refused.
	wait  time.Duration
	ahead int
}

// refuse returns the response to a request that was certainly not run.
func refuse(status int, message string) *refusal { return newRefusal(status, caller.NotRun, message) }

func newRefusal(status int, result caller.Result, message string) *refusal {
	return &refusal{status: status, result: result, message: message}
}

func (r *refusal) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set(HeaderResult, r.result.String())
	if r.retryAfter > 0 {
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.message + "\n"))
}

// writeFractional writes the response without a result and with a Retry-After in
// fractions of a second. It is only for the callers of a Gateway, who parse fractions;
// the standard allows whole seconds only (RFC 9110, 10.2.3).
func (r *refusal) writeFractional(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	if r.challenge != "" {
		w.Header().Set("Www-Authenticate", r.challenge)
	}
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.message + "\n"))
}

// newTargetRequest returns the request to the target at an address. Reads of its body
// fail beyond the contract's size limit.
func newTargetRequest(ctx context.Context, req *request, address string) *http.Request {
	ctx = withConnSettings(ctx, connSettings{req.routing.Contract.Protocol, req.maxConns})
	out := newOutboundRequest(ctx, req.inbound, address)
	out.Header.Del(HeaderAccountKey)
	if req.inbound.Body != nil && req.inbound.Body != http.NoBody {
		out.Body = &limitedBody{
			ReadCloser: req.inbound.Body,
			remaining:  req.routing.Contract.MaxBody,
			onEOF:      func() { copyTrailers(out.Trailer, req.inbound.Trailer) },
		}
	}
	return out
}

// newOutboundRequest returns the request that forwards a caller's request to an
// address. It uses the body of the caller's request.
func newOutboundRequest(ctx context.Context, inbound *http.Request, address string) *http.Request {
	out := inbound.WithContext(ctx)
	url := *inbound.URL
	out.URL = &url
	out.URL.Scheme = "http"
	out.URL.Host = address
	out.RequestURI = ""
	out.Close = false
	out.Header = make(http.Header, len(inbound.Header)+addedHeaders)
	copyHeaders(out.Header, inbound.Header)
	// This host itself responds with "100 Continue" when it reads the body.
	out.Header.Del("Expect")
	if acceptsTrailers(inbound.Header) {
		out.Header.Set("Te", "trailers")
	}
	addVia(out.Header, inbound.ProtoMajor, inbound.ProtoMinor)
	addForwarded(out.Header, inbound)
	announceTrailers(out, inbound)
	return out
}

// addedHeaders is the number of headers that are added to an outbound request.
const addedHeaders = 4

// announceTrailers announces the trailers of an inbound request to the target. Their
// values are known only after the body has been read.
func announceTrailers(out, inbound *http.Request) {
	out.Trailer = nil
	if len(inbound.Trailer) == 0 {
		return
	}
	out.Trailer = make(http.Header, len(inbound.Trailer))
	copyTrailers(out.Trailer, inbound.Trailer)
	// HTTP/1.1 has trailers only in a message without Content-Length.
	out.ContentLength = -1
}

// copyResponseHeaders copies the headers of a target's response, without those that
// start with protocolPrefix: only hosts set these.
func copyResponseHeaders(dst http.Header, resp *http.Response) {
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
		// HTTP/1.1 has trailers only in a message without Content-Length.
		delete(dst, "Content-Length")
	}
}

// writeTrailers forwards the trailers of a response after its body.
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
