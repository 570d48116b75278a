package caller

// Claim is the durable record of one key that a caller brought: which request
// id may run for the key, and how it ended.
type Claim struct {
	// ID is the request id under which the key may run. Its home host holds
	// the claim.
	ID RequestID
	// Epoch counts the ids that held the key, from 1.
	Epoch uint64
	// Print is the fingerprint of the request that the key stands for.
	Print   Fingerprint
	Outcome Outcome
}

// ClaimVerdict is the decision on a request whose key may be claimed already.
type ClaimVerdict int

// The verdicts on a key.
const (
	// KeyFree means that the key may be claimed with the next epoch.
	KeyFree ClaimVerdict = iota
	// KeyHeld means that another id holds the key and has not ended.
	KeyHeld
	// KeyEnded means that the request of the key has run, or may have.
	KeyEnded
	// KeyMismatch means that the key stands for a different request.
	KeyMismatch
)

// Verdict decides on a request with the key of the claim; a nil claim is that
// of a new key. Only a claim that ended as NotRun is free again: a holder that
// is gone or paused may have dispatched, so its key is never taken over.
func (c *Claim) Verdict(print Fingerprint) ClaimVerdict {
	switch {
	case c == nil:
		return KeyFree
	case c.Print != print:
		return KeyMismatch
	case c.Outcome.Result == NotRun:
		return KeyFree
	case c.Outcome.Result == Pending:
		return KeyHeld
	default:
		return KeyEnded
	}
}

// Next returns the claim by which an id takes the key.
func (c *Claim) Next(id RequestID, print Fingerprint) Claim {
	next := Claim{ID: id, Epoch: 1, Print: print}
	if c != nil {
		next.Epoch = c.Epoch + 1
	}
	return next
}
