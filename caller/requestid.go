// Package caller holds what a host knows of the callers: their accounts, the
// ids of their requests, and which of those requests it has dispatched. It
// does no I/O; time is passed in.
package caller

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrMalformedID is returned for a request id that this system never minted.
var ErrMalformedID = errors.New("malformed request id")

// idBase is the number base of the numeric parts of a request id.
const idBase = 36

// maxIDLength limits an id, in bytes.
const maxIDLength = 160

// idParts is the number of parts of a request id that are mandatory.
const idParts = 4

// RequestID identifies one request of a caller. It names the incarnation of
// the only host that may ever dispatch the request.
type RequestID struct {
	Host        string
	Incarnation uint64
	// Expires is when the id stops being dispatched, measured on the home
	// host's monotonic clock from the start of its incarnation.
	Expires time.Duration
	// Nonce makes the id unique within the account; it holds no dot.
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

// ParseRequestID parses an id as String prints it. It fails with
// ErrMalformedID.
func ParseRequestID(s string) (RequestID, error) {
	if len(s) > maxIDLength {
		return RequestID{}, errors.Wrapf(ErrMalformedID, "longer than %d bytes", maxIDLength)
	}
	// A host id may hold dots (the default is an address), so the parts are
	// counted from the end.
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

// splitLast splits s at its last dots into at most n parts.
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
