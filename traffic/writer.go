package traffic

import (
	"io"
	"net/http"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// callerStall is how long a caller may take to send or to receive the next
// part of a message before it is cut off.
const callerStall = 10 * time.Second

// discardTime is how long the server reads on, after the answer, what a caller
// still sends, so that the caller sees the answer rather than a reset.
const discardTime = time.Second

// callerWriter writes one answer to a caller. It passes interim answers on
// until the final one begins, and cuts a caller off that receives nothing.
//
// Its header is apart from that of the writer below, so that an interim answer
// that arrives late does not race with the handler.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	header  http.Header
	// interim is set when the caller's protocol has interim answers.
	interim bool
	// http1 is set when a connection carries one request after the other.
	http1 bool
	// last is set when the connection ends with this answer.
	last bool

	// mu orders interim answers and the beginning of the final one.
	mu    sync.Mutex
	begun bool
	// body is the request's body, or nil.
	body *callerBody
}

var _ http.ResponseWriter = (*callerWriter)(nil)

func newCallerWriter(w http.ResponseWriter, r *http.Request) *callerWriter {
	return &callerWriter{
		ResponseWriter: w,
		control:        http.NewResponseController(w),
		header:         make(http.Header),
		interim:        r.ProtoAtLeast(1, 1),
		http1:          r.ProtoMajor == 1,
	}
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Header implements http.ResponseWriter. Once the answer has begun it returns
// the header of the writer below, which takes the trailers.
func (w *callerWriter) Header() http.Header {
	if w.begun {
		return w.ResponseWriter.Header()
	}
	return w.header
}

// WriteHeader implements http.ResponseWriter.
func (w *callerWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun {
		return
	}
	w.begun = true
	header := w.ResponseWriter.Header()
	for name, values := range w.header {
		header[name] = values
	}
	if w.http1 && w.body != nil && !w.body.ended.Load() {
		// What is left of the body must not be taken for the next request.
		// HTTP/2 keeps bodies apart; there the server of net/http would take
		// this header for the wish to end the connection, and with it the
		// other requests on it that cannot be sent again.
		header.Set("Connection", "close")
	}
	if w.http1 && w.last {
		header.Set("Connection", "close")
	}
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	w.extend()
	return w.ResponseWriter.Write(p)
}

// finish ends the answer: it drops the interim answers that arrive after the
// handler has returned, and ends the reading of the body.
func (w *callerWriter) finish() {
	w.mu.Lock()
	w.begun = true
	w.mu.Unlock()
	if w.body != nil {
		w.body.finish()
	}
}

// receive returns the request with a body that is read by this writer's rules,
// and lets the answer begin before that body has ended: a caller that is
// refused must not be able to hold its answer back.
func (w *callerWriter) receive(r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		return r
	}
	_ = w.control.EnableFullDuplex()
	w.body = &callerBody{ReadCloser: r.Body, control: w.control, deadline: time.Now().Add(callerStall)}
	r = r.WithContext(r.Context())
	r.Body = w.body
	return r
}

// expect makes the reads of the body end by a request's deadline.
func (w *callerWriter) expect(deadline time.Time) {
	if w.body != nil {
		w.body.deadline = deadline
	}
}

// extend gives the caller time to receive the next part. A writer that knows
// no deadlines is left as it is.
func (w *callerWriter) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(callerStall)) }

// writeInterim passes an interim answer on (RFC 9110, 15.2). It has the form of
// httptrace.ClientTrace.Got1xxResponse. An interim answer that arrives after
// the final one has begun is dropped.
func (w *callerWriter) writeInterim(status int, fields textproto.MIMEHeader) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun || !w.interim || status == http.StatusContinue {
		return nil
	}
	header := w.ResponseWriter.Header()
	copyHeaders(header, http.Header(fields))
	w.extend()
	w.ResponseWriter.WriteHeader(status)
	clear(header)
	return nil
}

// callerBody reads a request's body and cuts a caller off that sends nothing.
// A transport may go on reading it after the handler has returned, which
// net/http does not allow; finish keeps that from happening.
type callerBody struct {
	io.ReadCloser
	control *http.ResponseController
	// deadline is when the request as a whole must have ended.
	deadline time.Time

	// mu is held while a read is under way.
	mu       sync.Mutex
	finished atomic.Bool
	// ended is set once the whole body has been read.
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	limit := time.Now().Add(callerStall)
	if b.deadline.Before(limit) {
		limit = b.deadline
	}
	_ = b.control.SetReadDeadline(limit)
	// The server answers "100 Continue" from within Read.
	_ = b.control.SetWriteDeadline(limit)
	if b.finished.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	if err != nil {
		// The server watches the connection from now on and must not take a
		// passed deadline for the caller's end.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close implements io.Closer. The server closes the body itself.
func (b *callerBody) Close() error { return nil }

// finish ends a read that is under way, waits for its end, and lets no other
// begin.
func (b *callerBody) finish() {
	b.finished.Store(true)
	if b.ended.Load() {
		return
	}
	if !b.mu.TryLock() {
		_ = b.control.SetReadDeadline(time.Now())
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	if !b.ended.Load() {
		_ = b.control.SetReadDeadline(time.Now().Add(discardTime))
	}
}
