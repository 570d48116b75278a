// Package caller holds the state that a host keeps about its callers: their
// accounts, the ids and outcomes of their requests, retry budgets, and the
// queues of requests that wait for a target. It does no I/O; time is passed in.
package caller

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrMalformedID is returned for a text that doesn't have the form of a request
// id.
var ErrMalformedID = errors.New("malformed request id")

// idBase is the base of the numbers in a request id.
const idBase = 36

// maxIDLength is the maximum length of an id in bytes.
const maxIDLength = 160

// idParts is the number of parts of a request id.
const idParts = 4

// RequestID identifies one request of a caller. Only the incarnation of the
// host that it names may dispatch the request.
type RequestID struct {
	Host        string
	Incarnation uint64
	// Expires is when the id expires, as the time since the incarnation began
	// on the home host's monotonic clock. The request is not dispatched after that.
	Expires time.Duration
	// Nonce makes the id unique within the account. It contains no dot.
	Nonce string
}

// String returns the id in the form "host.incarnation.expires.nonce".
func (id RequestID) String() string {
	text := make([]byte, 0, maxIDLength)
	text = append(append(text, id.Host...), '.')
	text = append(strconv.AppendUint(text, id.Incarnation, idBase), '.')
	text = append(strconv.AppendInt(text, int64(id.Expires/time.Second), idBase), '.')
	return string(append(text, id.Nonce...))
}

// ParseRequestID parses the format of RequestID.String. Its errors wrap
// ErrMalformedID.
func ParseRequestID(s string) (RequestID, error) {
	if len(s) > maxIDLength {
		return RequestID{}, errors.Wrapf(ErrMalformedID, "longer than %d bytes", maxIDLength)
	}
	// A host id may contain dots (by default it is an address), so the text is
	// split from its end.
	parts := splitLast(s, idParts)
	if len(parts) != idParts || parts[0] == "" || parts[idParts-1] == "" {
		return RequestID{}, errors.Wrapf(ErrMalformedID, "%q", s)
	}
	incarnation, err := strconv.ParseUint(parts[1], idBase, 64)
	if err != nil {
		return RequestID{}, errors.Wrapf(ErrMalformedID, "%q: incarnation", s)
	}
	seconds, err := strconv.ParseInt(parts[2], idBase, 32)
	if err != nil || seconds < 0 {
		return RequestID{}, errors.Wrapf(ErrMalformedID, "%q: expiry", s)
	}
	return RequestID{
		Host:        parts[0],
		Incarnation: incarnation,
		Expires:     time.Duration(seconds) * time.Second,
		Nonce:       parts[idParts-1],
	}, nil
}

// splitLast splits s at its last n-1 dots. It returns nil when there are fewer.
func splitLast(s string, n int) []string {
	parts := make([]string, n)
	for i := n - 1; i > 0; i-- {
		dot := strings.LastIndexByte(s, '.')
		if dot < 0 {
			return nil
		}
		parts[i], s = s[dot+1:], s[:dot]
	}
	parts[0] = s
	return parts
}
