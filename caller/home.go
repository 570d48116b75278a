package caller

import (
	"strconv"
	"sync/atomic"
	"time"
)

// IDLifetime is how long an id may be dispatched after it was issued.
const IDLifetime = 10 * time.Minute

// HomeHost issues request ids for one incarnation of one host, and tells which ids
// this incarnation may dispatch. It is safe for concurrent use.
type HomeHost struct {
	Host        string
	Incarnation uint64
	// Uptime returns the time since the incarnation began. It uses a monotonic
	// clock, so that a change of the wall clock doesn't change when ids expire.
	Uptime func() time.Duration

	lastNonce atomic.Uint64
}

// NewHomeHost returns a HomeHost for an incarnation that begins now.
func NewHomeHost(host string, incarnation uint64) *HomeHost {
	start := time.Now()
	return &HomeHost{
		Host:        host,
		Incarnation: incarnation,
		Uptime:      func() time.Duration { return time.Since(start) },
	}
}

// NewID returns a new id with a unique nonce.
func (h *HomeHost) NewID() RequestID {
	return RequestID{
		Host:        h.Host,
		Incarnation: h.Incarnation,
		Expires:     h.expiry(),
		Nonce:       "n" + strconv.FormatUint(h.lastNonce.Add(1), idBase),
	}
}

// expiry returns when an id issued now expires, truncated to whole seconds like
// the text form of the id.
func (h *HomeHost) expiry() time.Duration { return (h.Uptime() + IDLifetime).Truncate(time.Second) }

// Prefix returns the text of an id without a nonce, ending in a dot. A caller
// appends a nonce of its own.
func (h *HomeHost) Prefix() string {
	id := RequestID{Host: h.Host, Incarnation: h.Incarnation, Expires: h.expiry()}
	return id.String()
}

// Owns reports whether this incarnation is the one that may dispatch the id.
func (h *HomeHost) Owns(id RequestID) bool {
	return id.Host == h.Host && id.Incarnation == h.Incarnation
}

// ExpiresTooLate reports whether the id expires later than any id that can have been
// issued by now.
func (h *HomeHost) ExpiresTooLate(id RequestID) bool { return id.Expires > h.Uptime()+IDLifetime }
