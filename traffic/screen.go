package traffic

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
)

// fault is what is wrong with a request's message.
type fault struct {
	status  int
	message string
}

// screen checks what can be told from the head of a request before its service
// is known. It returns nil when nothing is wrong.
func screen(r *http.Request) *fault {
	switch {
	case r.Method == http.MethodConnect:
		return &fault{http.StatusNotImplemented, "CONNECT is not supported"}
	case asksUpgrade(r.Header):
		return &fault{http.StatusNotImplemented, "a change of protocol by Upgrade is not supported"}
	case hops(r.Header) >= maxHops:
		return &fault{http.StatusLoopDetected, "the request goes round in a loop"}
	default:
		return nil
	}
}

// asksUpgrade reports whether a request asks for another protocol. An offer of
// HTTP/2 may be passed over (RFC 9113, 3.1).
func asksUpgrade(header http.Header) bool {
	for _, list := range header["Upgrade"] {
		for protocol := range strings.SplitSeq(list, ",") {
			if !strings.EqualFold(strings.TrimSpace(protocol), "h2c") {
				return hasToken(header["Connection"], "upgrade")
			}
		}
	}
	return false
}

// screenBody checks the announced length of a body against the contract.
func screenBody(r *http.Request, c *contract.Contract) *fault {
	if r.ContentLength > c.MaxBody {
		return &fault{http.StatusRequestEntityTooLarge, errBodyTooLarge.Error()}
	}
	return nil
}

// limitedBody fails when a body without an announced length is longer than the
// contract allows, and marks the errors that come from the caller.
type limitedBody struct {
	io.ReadCloser
	left int64
	// atEnd is called when the whole body has been read.
	atEnd func()
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		return 0, errBodyTooLarge
	}
	b.left -= int64(n)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.atEnd()
		return n, io.EOF
	default:
		return n, errors.Wrap(errBodyBroken, err.Error())
	}
}

// callerFault reports whether an attempt failed because of the caller's body.
// It says nothing of the target.
func callerFault(err error) bool {
	return errors.Is(err, errBodyTooLarge) || errors.Is(err, errBodyBroken)
}
