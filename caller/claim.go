package caller

// Claim is the durable record of one idempotency key sent by a caller: which
// request id may run for the key, and the outcome of that request.
type Claim struct {
	// ID is the request id that holds the key. Only the home host of this id
	// may run the request.
	ID RequestID
	// Epoch counts the ids that have held the key so far, starting at 1.
	Epoch uint64
	// Fingerprint is the fingerprint of the request that the key was first used
	// for.
	Fingerprint Fingerprint
	Outcome     Outcome
}

// KeyDecision is the decision on a request whose key may already be claimed.
type KeyDecision int

// The decisions on a key.
const (
	// KeyFree means that the key may be claimed with the next epoch.
	KeyFree KeyDecision = iota
	// KeyHeld means that another id holds the key and its request has not ended.
	KeyHeld
	// KeyEnded means that the request of the key has ended, and that it ran or may have
	// run.
	KeyEnded
	// KeyMismatch means that the key belongs to a different request.
	KeyMismatch
)

// Decide decides whether a request may claim the key. A nil claim means that the
// key is new. A claimed key becomes free again only when its request ended as
// NotRun: a home host that is gone or paused may have dispatched the request, so
// a pending claim is never taken over.
func (c *Claim) Decide(fingerprint Fingerprint) KeyDecision {
	switch {
	case c == nil:
		return KeyFree
	case c.Fingerprint != fingerprint:
		return KeyMismatch
	case c.Outcome.Result == NotRun:
		return KeyFree
	case c.Outcome.Result == Pending:
		return KeyHeld
	default:
		return KeyEnded
	}
}

// Next returns the claim to be written when the id claims the key. c is the previous
// claim on the key, or nil for a new key.
func (c *Claim) Next(id RequestID, fingerprint Fingerprint) Claim {
	next := Claim{ID: id, Epoch: 1, Fingerprint: fingerprint}
	if c != nil {
		next.Epoch = c.Epoch + 1
	}
	return next
}
