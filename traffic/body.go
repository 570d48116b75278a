package traffic

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

// bodyStep is how many bytes of a body are reserved and read at a time.
const bodyChunkBytes = 16 << 10

// Errors of reading a body into memory. The request was not run.
var (
	errBodyTooLarge = errors.New("the request's body is larger than the contract allows")
	errBodyMemory   = errors.New("too many request bodies are held in memory")
	errBodyBroken   = errors.New("the request's body did not arrive whole")
)

// body is a request body held in memory.
type body struct {
	data     []byte
	reserved int64
	memory   *caller.Memory
}

// readBody reads the whole body of a request, of at most limit bytes. On an
// error it holds no memory.
func readBody(r *http.Request, limit int64, memory *caller.Memory) (*body, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	b := &body{memory: memory}
	err := b.read(r.Body, r.ContentLength, limit)
	if err != nil {
		b.free()
		return nil, err
	}
	return b, nil
}

// read reads a body of the given length, or of an unknown one if that is
// negative, reserving memory before it is used.
func (b *body) read(r io.Reader, length, limit int64) error {
	if length == 0 {
		return nil
	}
	var data bytes.Buffer
	for {
		step := int64(bodyChunkBytes)
		if length >= 0 {
			step = min(step, length-int64(data.Len()))
		}
		if !b.memory.Reserve(step) {
			return errBodyMemory
		}
		b.reserved += step
		n, err := io.CopyN(&data, r, step)
		done := length >= 0 && int64(data.Len()) == length || length < 0 && errors.Is(err, io.EOF)
		switch {
		case int64(data.Len()) > limit:
			return errBodyTooLarge
		case done:
			b.data = data.Bytes()
			return nil
		case err != nil || n < step:
			return errors.Wrap(errBodyBroken, "end of the body")
		}
	}
}

// free gives the memory back. The data must not be used any more.
func (b *body) free() {
	if b == nil {
		return
	}
	b.memory.Release(b.reserved)
	b.reserved = 0
}

// replayable makes the body that of an outbound idempotent request.
func (b *body) setRetryable(out *http.Request) {
	out.Body = http.NoBody
	if len(b.data) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(b.data))
	}
	out.ContentLength = int64(len(b.data))
	out.TransferEncoding = nil
}

// once makes the body that of an outbound non-idempotent request. The transport of
// net/http repeats on its own what it takes for idempotent: a GET, HEAD,
// OPTIONS or TRACE without a body or with GetBody, and any request with an
// Idempotency-Key. A request that may run once only therefore gets a body
// that cannot be replayed, and the key's header under a name that the
// transport does not look up; header names are case-insensitive on the wire.
func (b *body) setNonRetryable(out *http.Request) {
	out.Body = nonRetryableBody{bytes.NewReader(b.data)}
	out.ContentLength = int64(len(b.data))
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

// onceBody hides the type of its reader, by which net/http would know that it
// can be read again.
type nonRetryableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRetryableBody) Close() error { return nil }
