package traffic

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
)

// requestError describes why a request is invalid, with the status of the
// response to it.
type requestError struct {
	status  int
	message string
}

// validateHeader checks the parts of a request's header that do not depend on its
// service. It returns nil if the request is valid.
func validateHeader(r *http.Request) *requestError {
	switch {
	case r.Method == http.MethodConnect:
		return &requestError{http.StatusNotImplemented, "CONNECT is not supported"}
	case requestsUpgrade(r.Header):
		return &requestError{http.StatusNotImplemented, "a change of protocol by Upgrade is not supported"}
	case hops(r.Header) >= maxHops:
		return &requestError{http.StatusLoopDetected, "the request goes round in a loop"}
	default:
		return nil
	}
}

// requestsUpgrade reports whether a request asks for a protocol upgrade other
// than to h2c, which a server may ignore (RFC 9113, 3.1).
func requestsUpgrade(header http.Header) bool {
	for _, list := range header["Upgrade"] {
		for protocol := range strings.SplitSeq(list, ",") {
			if !strings.EqualFold(strings.TrimSpace(protocol), "h2c") {
				return hasToken(header["Connection"], "upgrade")
			}
		}
	}
	return false
}

// validateContentLength checks the Content-Length of a request against the
// contract's limit.
func validateContentLength(r *http.Request, c *contract.Contract) *requestError {
	if r.ContentLength > c.MaxBody {
		return &requestError{http.StatusRequestEntityTooLarge, errBodyTooLarge.Error()}
	}
	return nil
}

// limitedBody is a request body whose reads fail with errBodyTooLarge beyond a limit.
// The limit cannot be checked earlier if the request has no Content-Length. Other read
// errors are wrapped as errBodyBroken, so that they are attributed to the caller.
type limitedBody struct {
	io.ReadCloser
	// remaining is how many bytes may still be read.
	remaining int64
	// onEOF is called when the whole body has been read.
	onEOF func()
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.remaining {
		return 0, errBodyTooLarge
	}
	b.remaining -= int64(n)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.onEOF()
		return n, io.EOF
	default:
		return n, errors.Wrap(errBodyBroken, err.Error())
	}
}

// isCallerError reports whether an attempt failed because of the caller's request
// body. Such a failure is not counted against the target.
func isCallerError(err error) bool {
	return errors.Is(err, errBodyTooLarge) || errors.Is(err, errBodyBroken)
}
