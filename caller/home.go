package caller

import (
	"strconv"
	"sync/atomic"
	"time"
)

// IDLifetime is how long after its minting an id may be dispatched.
const IDLifetime = 10 * time.Minute

// Home mints request ids for one incarnation of one host and recognises them.
// It is safe for concurrent use.
type Home struct {
	Host        string
	Incarnation uint64
	// Since returns the time since the incarnation began, on a monotonic
	// clock, so that a jump of the wall clock moves no expiry.
	Since func() time.Duration

	nonce atomic.Uint64
}

// NewHome returns a home whose incarnation begins now.
func NewHome(host string, incarnation uint64) *Home {
	start := time.Now()
	return &Home{
		Host:        host,
		Incarnation: incarnation,
		Since:       func() time.Duration { return time.Since(start) },
	}
}

// Mint returns a new id.
func (h *Home) Mint() RequestID {
	return RequestID{
		Host:        h.Host,
		Incarnation: h.Incarnation,
		Expires:     h.expiry(),
		Nonce:       "n" + strconv.FormatUint(h.nonce.Add(1), idBase),
	}
}

// expiry returns when an id minted now expires, in whole seconds, as its text
// holds it.
func (h *Home) expiry() time.Duration { return (h.Since() + IDLifetime).Truncate(time.Second) }

// Prefix returns the start of an id, to which a caller appends a nonce of its
// own. It ends in a dot.
func (h *Home) Prefix() string {
	id := RequestID{Host: h.Host, Incarnation: h.Incarnation, Expires: h.expiry()}
	return id.String()
}

// Owns reports whether this incarnation is the one that may dispatch the id.
func (h *Home) Owns(id RequestID) bool {
	return id.Host == h.Host && id.Incarnation == h.Incarnation
}

// Forged reports whether the id expires later than any id minted until now.
func (h *Home) Forged(id RequestID) bool { return id.Expires > h.Since()+IDLifetime }
