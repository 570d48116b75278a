package traffic

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

// bodyChunkBytes is how much of a body is reserved and read at a time.
const bodyChunkBytes = 16 << 10

// Errors of reading a body into memory. The request was not run.
var (
	errBodyTooLarge = errors.New("the request's body is larger than the contract allows")
	errBodyMemory   = errors.New("too many request bodies are held in memory")
	// errBodyBroken means that the caller's connection failed or the body was
	// malformed before its end.
	errBodyBroken = errors.New("the request's body did not arrive whole")
)

// body is a request body that is buffered in memory.
type body struct {
	data segments
	held *caller.Reservation
}

// readBody reads the whole body of a request, of up to limit bytes. If it returns an
// error, it has released all memory.
func readBody(r *http.Request, limit int64, memory *caller.Memory) (*body, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	b := &body{}
	b.held, _ = memory.NewReservation(0) // nothing is reserved yet
	err := b.read(r.Body, r.ContentLength, limit)
	if err != nil {
		b.free()
		return nil, err
	}
	return b, nil
}

// read reads a body of the given length. A negative length means that the length is
// unknown. It reserves the memory for each chunk before it reads the chunk.
func (b *body) read(r io.Reader, length, limit int64) error {
	if length == 0 {
		return nil
	}
	for {
		chunk := b.data.next(length)
		if !b.held.Grow(chunk) {
			return errBodyMemory
		}
		err := b.data.read(r, chunk)
		switch {
		case b.data.size > limit:
			return errBodyTooLarge
		case length >= 0 && b.data.size == length || length < 0 && errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Wrap(errBodyBroken, "end of the body")
		}
	}
}

// free releases the memory. The data must not be used afterwards.
func (b *body) free() {
	if b == nil {
		return
	}
	b.held.Free()
}

// setRetryable sets the body of an outbound request that may be sent again.
func (b *body) setRetryable(out *http.Request) {
	out.Body = http.NoBody
	if b.data.size > 0 {
		out.Body = io.NopCloser(b.data.reader())
	}
	out.ContentLength = b.data.size
	out.TransferEncoding = nil
}

// setNonRetryable sets the body of an outbound request that the transport must not send
// again. When a reused connection fails, net/http itself resends a request that it
// considers replayable: a GET, HEAD, OPTIONS or TRACE request, or a request with an
// Idempotency-Key header, if it has no body or has GetBody. Two measures prevent this.
// The request always gets a body without GetBody, even if the body is empty. The key
// headers get lower-case names, because the transport only looks for the canonical
// names; on the wire, header names are case-insensitive.
func (b *body) setNonRetryable(out *http.Request) {
	out.Body = nonRetryableBody{b.data.reader()}
	out.ContentLength = b.data.size
	out.GetBody = nil
	out.TransferEncoding = nil
	if len(out.Trailer) > 0 {
		out.ContentLength = -1
	}
	for _, name := range [...]string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := out.Header[name]; ok {
			delete(out.Header, name)
			out.Header[strings.ToLower(name)] = values
		}
	}
}

// nonRetryableBody hides the type of its reader. From that type, net/http would
// conclude that the body can be read again.
type nonRetryableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRetryableBody) Close() error { return nil }
