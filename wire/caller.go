package wire

// HTTP headers of the protocol between callers and hosts.
const (
	// HeaderAccountKey carries the secret key of the caller's account.
	HeaderAccountKey = "Crocushinge-Key"
	// HeaderRequestID carries the id of the request, in requests and responses.
	HeaderRequestID = "Crocushinge-Request-Id"
	// HeaderResult carries the result of the request: pending, completed,
	// not-run or unknown.
	HeaderResult = "Crocushinge-Result"
	// HeaderStatus carries the target's HTTP status for a completed request
	// whose response was not stored.
	HeaderStatus = "Crocushinge-Status"
	// HeaderDeadline carries the time left for the request, in milliseconds.
	// Each hop sends a smaller value than it received.
	HeaderDeadline = "Crocushinge-Deadline-Ms"
	// HeaderIdempotencyKey carries a key that the caller chooses. Of all
	// requests with the same key at most one is executed, whichever hosts they
	// reach and however late they arrive.
	HeaderIdempotencyKey = "Idempotency-Key"
)
