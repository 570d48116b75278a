package wire

// Headers of the protocol between callers and the system.
const (
	// HeaderKey carries the secret key of the caller's account.
	HeaderKey = "Crocushinge-Key"
	// HeaderRequestID carries the id of the request, both ways.
	HeaderRequestID = "Crocushinge-Request-Id"
	// HeaderResult tells what became of the request: pending, completed,
	// not-run or unknown.
	HeaderResult = "Crocushinge-Result"
	// HeaderStatus repeats the target's status of a completed request whose
	// answer was not kept.
	HeaderStatus = "Crocushinge-Status"
	// HeaderDeadline carries the milliseconds left for the request. Each hop
	// sends less than it received.
	HeaderDeadline = "Crocushinge-Deadline-Ms"
	// HeaderIdempotencyKey carries a key of the caller's own. All requests
	// with one key run once at most, whichever host they reach and however
	// late.
	HeaderIdempotencyKey = "Idempotency-Key"
)
