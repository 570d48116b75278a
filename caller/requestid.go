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
	// Nonce makes the id unique; a caller may append parts of its own.
	Nonce string
}

// String returns the id in the form "host.incarnation.expires.nonce".
func (id RequestID) String() string {
	return strings.Join([]string{
		id.Host,
		strconv.FormatUint(id.Incarnation, idBase),
		strconv.FormatInt(int64(id.Expires/time.Second), idBase),
		id.Nonce,
	}, ".")
}

// ParseRequestID parses an id as String prints it. It fails with
// ErrMalformedID.
func ParseRequestID(s string) (RequestID, error) {
	parts := strings.SplitN(s, ".", idParts)
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
