package traffic

import (
	"io"
	"net/http"
	"net/textproto"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

// callerIOTimeout is how long a caller may take to send or to receive the next
// part of a message before the read or write fails.
const callerIOTimeout = 10 * time.Second

// discardTimeout is how long the server reads what a caller still sends after the
// response. Closing at once would reset the connection, and the caller could lose the
// response.
const discardTimeout = time.Second

// callerWriter writes the response to a caller. It forwards interim responses
// until the final one begins. A write fails when the caller receives nothing for
// callerIOTimeout.
//
// Its header is separate from that of the wrapped writer, so that a late interim
// response does not race with the handler.
type callerWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	header     http.Header
	// supportsInterim is set when the caller's protocol version has interim
	// responses.
	supportsInterim bool
	// http1 is set when the connection carries one request at a time.
	http1 bool
	// closeAfterResponse reports, as the response begins, whether the connection is to be
	// closed after it; nil if it is not.
	closeAfterResponse func() bool

	// transfer is the delivery of a target's response; nil unless slow callers are cut off.
	transfer *caller.Transfer
	// writeErr is the first error of a write. stalled is set if the caller took nothing until the
	// deadline of that write.
	writeErr error
	stalled  bool
	// waited is the time that writes have taken, beginning with transferBegan.
	waited        time.Duration
	transferBegan time.Time

	// deadlineMu guards aborted and finished, and orders abort with the setting of deadlines.
	deadlineMu        sync.Mutex
	aborted, finished bool
	// conn is the caller's connection, or nil if it is not known or HTTP/2.
	conn *callerConn

	// mu orders interim responses before the final one.
	mu          sync.Mutex
	wroteHeader bool
	// body is the request's body, or nil.
	body *callerBody
}

var _ http.ResponseWriter = (*callerWriter)(nil)

func newCallerWriter(w http.ResponseWriter, r *http.Request) *callerWriter {
	var conn *callerConn
	if r.ProtoMajor == 1 {
		conn = callerConnOf(r.Context())
	}
	return &callerWriter{
		conn:            conn,
		ResponseWriter:  w,
		controller:      http.NewResponseController(w),
		header:          make(http.Header),
		supportsInterim: r.ProtoAtLeast(1, 1),
		http1:           r.ProtoMajor == 1,
	}
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Header implements http.ResponseWriter. After WriteHeader it returns the header
// of the wrapped writer, which takes the trailers.
func (w *callerWriter) Header() http.Header {
	if w.wroteHeader {
		return w.ResponseWriter.Header()
	}
	return w.header
}

// WriteHeader implements http.ResponseWriter.
func (w *callerWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	header := w.ResponseWriter.Header()
	for name, values := range w.header {
		header[name] = values
	}
	if w.http1 && w.body != nil && !w.body.reachedEOF.Load() {
		// The unread rest of the body must not be parsed as the next request. HTTP/2
		// separates the bodies of requests. For HTTP/2, the server of net/http would
		// close the whole connection because of this header, and would abort other
		// requests that cannot be sent again.
		header.Set("Connection", "close")
	}
	if w.http1 && w.closeAfterResponse != nil && w.closeAfterResponse() {
		header.Set("Connection", "close")
	}
	w.extendWriteDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if w.transfer == nil {
		w.extendWriteDeadline()
		return w.ResponseWriter.Write(p)
	}
	size := pieceBytes
	if !w.http1 {
		size = http2PieceBytes
	}
	written := 0
	for written < len(p) && w.writeErr == nil {
		piece := p[written:min(written+size, len(p))]
		w.send(func() (int, error) {
			n, err := w.ResponseWriter.Write(piece)
			written += n
			return n, err
		})
	}
	return written, w.writeErr
}

// Sizes of the writes to a caller that may be slow. The pace of the caller shows after each. Over
// HTTP/2 a write must end within callerIOTimeout, so that its size sets the lowest pace.
const (
	pieceBytes      = 16 << 10
	http2PieceBytes = 4 << 10
)

// FlushError sends what has been written, as http.ResponseController does.
func (w *callerWriter) FlushError() error {
	if w.transfer == nil {
		return w.controller.Flush()
	}
	w.send(func() (int, error) { return 0, w.controller.Flush() })
	return w.writeErr
}

// send calls a function that waits until the caller has taken something, and records how long
// that takes and its first error.
func (w *callerWriter) send(write func() (int, error)) {
	began := time.Now()
	w.extendWriteDeadline()
	w.transfer.BeginWrite()
	n, err := write()
	w.transfer.EndWrite(n)
	w.waited += time.Since(began)
	if w.writeErr == nil && err != nil {
		w.writeErr = err
		// Over HTTP/2 the error of a stream that was reset at its deadline does not say so.
		w.stalled = errors.Is(err, os.ErrDeadlineExceeded) || !w.http1 && time.Since(began) >= callerIOTimeout
	}
}

// mostlyWaited reports whether the transfer has waited for the caller for most of its time.
func (w *callerWriter) mostlyWaited() bool { return 2*w.waited > time.Since(w.transferBegan) }

// abort ends the connection to the caller, or its stream, at once, so that the caller does not take
// the response for complete. It may be called from another goroutine.
func (w *callerWriter) abort() {
	w.deadlineMu.Lock()
	defer w.deadlineMu.Unlock()
	if w.finished {
		return
	}
	w.aborted = true
	if w.conn != nil {
		w.conn.abort() // before a write fails, because the server then closes the connection itself
		return
	}
	_ = w.controller.SetWriteDeadline(past)
}

// finish is called when the handler returns. It makes the writer drop later interim
// responses and stops reading the body.
func (w *callerWriter) finish() {
	w.mu.Lock()
	w.wroteHeader = true
	w.mu.Unlock()
	w.deadlineMu.Lock()
	w.finished = true
	w.deadlineMu.Unlock()
	if w.body != nil {
		w.body.finish()
	}
}

// wrapRequest returns the request with its body wrapped in a callerBody. It allows the
// response to begin before the whole body was read: otherwise a caller that stops
// sending its body could delay the refusal of its request.
func (w *callerWriter) wrapRequest(r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		return r
	}
	_ = w.controller.EnableFullDuplex()
	w.body = &callerBody{ReadCloser: r.Body, controller: w.controller, deadline: time.Now().Add(callerIOTimeout)}
	r = r.WithContext(r.Context())
	r.Body = w.body
	return r
}

// setBodyDeadline makes reads of the body fail after the deadline, also one in progress.
func (w *callerWriter) setBodyDeadline(deadline time.Time) {
	if w.body != nil {
		w.body.setDeadline(deadline)
	}
}

// extendWriteDeadline gives the caller callerIOTimeout to receive the next part of
// the response. It has no effect on a writer without deadlines.
func (w *callerWriter) extendWriteDeadline() {
	w.deadlineMu.Lock()
	defer w.deadlineMu.Unlock()
	if w.aborted {
		return
	}
	_ = w.controller.SetWriteDeadline(time.Now().Add(callerIOTimeout))
}

// writeInterim forwards an interim response (RFC 9110, 15.2) and drops it if the
// final response has begun. Its signature is that of
// httptrace.ClientTrace.Got1xxResponse.
func (w *callerWriter) writeInterim(status int, fields textproto.MIMEHeader) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wroteHeader || !w.supportsInterim || status == http.StatusContinue {
		return nil
	}
	header := w.ResponseWriter.Header()
	copyHeaders(header, http.Header(fields))
	w.extendWriteDeadline()
	w.ResponseWriter.WriteHeader(status)
	clear(header)
	return nil
}

// callerBody is a request body whose reads fail when the caller sends nothing for
// callerIOTimeout. A transport may still read it after the handler has returned,
// which net/http does not allow; finish prevents such reads.
type callerBody struct {
	io.ReadCloser
	controller *http.ResponseController

	// mu is held during a read.
	mu       sync.Mutex
	finished atomic.Bool
	// deadlineMu guards the fields below, and orders the deadlines that are set on the connection.
	deadlineMu sync.Mutex
	// deadline is when reads fail, and reading is set during a read.
	deadline time.Time
	reading  bool
	// reachedEOF is set when the whole body has been read.
	reachedEOF atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	b.beginRead()
	if b.finished.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.reachedEOF.Store(true)
	}
	b.endRead(err)
	return n, err
}

func (b *callerBody) beginRead() {
	b.deadlineMu.Lock()
	defer b.deadlineMu.Unlock()
	b.reading = true
	deadline := time.Now().Add(callerIOTimeout)
	if b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	_ = b.controller.SetReadDeadline(deadline)
	// The server writes "100 Continue" within Read.
	_ = b.controller.SetWriteDeadline(deadline)
}

func (b *callerBody) endRead(err error) {
	b.deadlineMu.Lock()
	defer b.deadlineMu.Unlock()
	b.reading = false
	if err != nil {
		// From now on the server reads from the connection in the background. An
		// expired deadline would look to it as if the caller had disconnected.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
}

// setDeadline sets the time after which reads fail. It ends a read in progress then.
func (b *callerBody) setDeadline(deadline time.Time) {
	b.deadlineMu.Lock()
	defer b.deadlineMu.Unlock()
	if b.reading && deadline.Before(b.deadline) {
		_ = b.controller.SetReadDeadline(deadline)
	}
	b.deadline = deadline
}

// Close implements io.Closer. It does nothing, as the server closes the body.
func (b *callerBody) Close() error { return nil }

// finish interrupts a read in progress, waits for it to return and makes later
// reads fail.
func (b *callerBody) finish() {
	b.finished.Store(true)
	if b.reachedEOF.Load() {
		return
	}
	if !b.mu.TryLock() {
		_ = b.controller.SetReadDeadline(time.Now())
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	if !b.reachedEOF.Load() {
		_ = b.controller.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}
