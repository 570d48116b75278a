package caller

import (
	"strconv"
	"sync/atomic"
	"time"
)

// IDLifetime is how long an id may be dispatched after it was issued.
const IDLifetime = 10 * time.Minute

// Home issues request ids for one incarnation of one host, and tells which ids this
// incarnation may dispatch. It is safe for concurrent use.
type Home struct {
	Host        string
	Incarnation uint64
	// Since returns the time since the incarnation began. It uses a monotonic
	// clock, so that a change of the wall clock doesn't change when ids expire.
	Since func() time.Duration

	lastNonce atomic.Uint64
}

// NewHome returns a Home for an incarnation that begins now.
func NewHome(host string, incarnation uint64) *Home {
	start := time.Now()
	return &Home{
		Host:        host,
		Incarnation: incarnation,
		Since:       func() time.Duration { return time.Since(start) },
	}
}

// Mint returns a new id with a unique nonce.
func (h *Home) Mint() RequestID {
	return RequestID{
		Host:        h.Host,
		Incarnation: h.Incarnation,
		Expires:     h.expiry(),
		Nonce:       "n" + strconv.FormatUint(h.lastNonce.Add(1), idBase),
	}
}

// expiry returns when an id issued now expires, truncated to whole seconds like
// the text form of the id.
func (h *Home) expiry() time.Duration { return (h.Since() + IDLifetime).Truncate(time.Second) }

// Prefix returns the text of an id without a nonce, ending in a dot. A caller
// appends a nonce of its own.
func (h *Home) Prefix() string {
	id := RequestID{Host: h.Host, Incarnation: h.Incarnation, Expires: h.expiry()}
	return id.String()
}

// Owns reports whether this incarnation is the one that may dispatch the id.
func (h *Home) Owns(id RequestID) bool {
	return id.Host == h.Host && id.Incarnation == h.Incarnation
}

// Forged reports whether the id expires later than any id issued until now can.
func (h *Home) Forged(id RequestID) bool { return id.Expires > h.Since()+IDLifetime }
