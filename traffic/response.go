package traffic

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/link"
)

// Sizes of response bodies, in bytes.
const (
	// maxBufferedBytes limits how much of a response body is buffered before the
	// response is forwarded. A shorter body is read to its end, so that the response is
	// known to be complete before it is forwarded.
	maxBufferedBytes = 64 << 10
	// responseAllowance is the memory that is reserved for each request before it is sent: for
	// the head and the body of an ordinary response, or the buffer that forwards a longer one.
	responseAllowance = headAllowance + allowedBodyBytes
	// allowedBodyBytes is the size of a body up to which no further memory is reserved.
	allowedBodyBytes = copyBufferBytes
	// streamAllowance is the memory that is reserved in addition for a response that is streamed, if
	// slow peers are cut off: goroutines and buffers of its two connections. 1,840 such responses
	// took 181 MB of a process where only responseAllowance was reserved.
	streamAllowance = 48 << 10
	// maxStoredBytes is the size up to which a response body is stored for repeats of
	// the request.
	maxStoredBytes = 4 << 10
)

// errCloseDelimited means that only the end of the connection marks the end of the
// response. Such a response cannot be distinguished from a truncated one.
var errCloseDelimited = errors.New("the answer announces neither its length nor its end")

// errResponseMemory means that the responses that are held leave no memory for another one. The
// request was not sent.
var errResponseMemory = errors.New("too many answers are held in memory")

// errResponseTooLong means that a response is longer than its Content-Length.
var errResponseTooLong = errors.New("the answer is longer than it announced")

// selfDelimiting reports whether a complete response can be distinguished from a
// truncated one.
func selfDelimiting(resp *http.Response) bool {
	if resp.ProtoMajor >= 2 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return true
	}
	return resp.Body == http.NoBody
}

// buffer reads up to maxBufferedBytes of the response body. complete is set if that is
// the whole body. It returns an error for a close-delimited response.
func (a *attempt) buffer() (buffered []byte, complete bool, err error) {
	if !selfDelimiting(a.response) {
		return nil, false, errCloseDelimited
	}
	return bufferResponse(a.response, a.trace.held)
}

// bufferResponse reads up to maxBufferedBytes of a response body. complete is set if
// that is the whole body. If the memory for that is not left, it reads nothing, so that the body
// is forwarded as it arrives.
func bufferResponse(resp *http.Response, held *caller.Reservation) (buffered []byte, complete bool, err error) {
	size := int64(maxBufferedBytes)
	if resp.ContentLength >= 0 {
		size = min(size, resp.ContentLength)
	}
	if size > allowedBodyBytes && !held.GrowIfLeft(size) {
		return nil, false, nil
	}
	if length := resp.ContentLength; length >= 0 && length < maxBufferedBytes {
		buffered, err = readWithLength(resp.Body, length)
	} else {
		buffered, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	}
	if err != nil {
		return nil, false, errors.Wrap(err, "the answer was cut short")
	}
	return buffered, len(buffered) < maxBufferedBytes, nil
}

// readFirst reads the first piece of a response body. complete is set if that is the whole
// body.
func readFirst(r io.Reader) (first []byte, complete bool, err error) {
	first = make([]byte, copyBufferBytes)
	n := 0
	for n == 0 && err == nil {
		n, err = r.Read(first)
	}
	switch {
	case errors.Is(err, io.EOF):
		return first[:n], true, nil
	case err != nil && n == 0:
		return nil, false, errors.Wrap(err, "the answer was cut short")
	default:
		return first[:n], false, nil // the next read returns the error again
	}
}

// readWithLength reads a whole body with the given Content-Length. The body may be
// empty nevertheless, as in the response to HEAD.
func readWithLength(r io.Reader, length int64) ([]byte, error) {
	// One byte more than the length is allocated, so that the last read can return
	// io.EOF.
	data := make([]byte, 0, length+1)
	for len(data) < cap(data) {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errResponseTooLong
}

// fail finishes an attempt whose response is incomplete or cannot be used.
func (a *attempt) fail() {
	a.outcome = link.Failed
	a.close()
}

// close closes the response body and finishes the attempt.
func (a *attempt) close() {
	_ = a.response.Body.Close()
	a.finish()
}

// storedResponse returns the response with the given body in the form that is stored
// for repeats of the request, or nil if the body is longer than maxStoredBytes.
func (a *attempt) storedResponse(body []byte) *caller.Response {
	if len(body) > maxStoredBytes {
		return nil
	}
	header := make(http.Header)
	copyResponseHeaders(header, a.response)
	header.Del("Trailer")
	stored := &caller.Response{Status: a.response.StatusCode, Body: body}
	for name, values := range header {
		for _, v := range values {
			stored.Fields = append(stored.Fields, caller.HeaderField{Name: name, Value: v})
		}
	}
	return stored
}

// writeHeader forwards the status and header of the response.
func (a *attempt) writeHeader(w http.ResponseWriter, result caller.Result) {
	copyResponseHeaders(w.Header(), a.response)
	w.Header().Set(HeaderResult, result.String())
	w.WriteHeader(a.response.StatusCode)
}

// stream forwards the body of the response. It reads the body to its end even if the
// caller has disconnected, to learn whether the response is complete. It returns only
// errors of the target.
func (a *attempt) stream(w http.ResponseWriter, buffered []byte) error {
	return streamResponse(w, a.response, buffered)
}

// streamResponse forwards the buffered start of a response body, the rest of the
// body and the trailers.
func streamResponse(w http.ResponseWriter, resp *http.Response, buffered []byte) error {
	if err := copyBody(w, io.MultiReader(bytes.NewReader(buffered), resp.Body)); err != nil {
		return errors.Wrap(err, "the answer was cut short")
	}
	writeTrailers(w, resp)
	return nil
}

// copyBody copies src to w and flushes after each read, so that the caller gets
// data as it arrives. It returns only errors of src.
func copyBody(w http.ResponseWriter, src io.Reader) error {
	flush := http.NewResponseController(w).Flush
	buf := make([]byte, copyBufferBytes)
	disconnected := false
	for {
		n, err := src.Read(buf)
		if n > 0 && !disconnected {
			_, writeErr := w.Write(buf[:n])
			disconnected = writeErr != nil || flush() != nil
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// copyBufferBytes is the size of the buffer of copyBody.
const copyBufferBytes = 16 << 10

// abortResponse ends a response to r that cannot be completed, so that the caller does not take what it has
// got for the whole. A caller of HTTP/1.0 knows the end of a response without a length only by the end
// of the connection, which is therefore reset.
func abortResponse(r *http.Request) {
	if conn := callerConnOf(r.Context()); conn != nil && !r.ProtoAtLeast(1, 1) {
		conn.abort()
	}
	panic(http.ErrAbortHandler)
}

// writeStored writes the stored response of an earlier request.
func writeStored(w http.ResponseWriter, stored *caller.Response) {
	for _, f := range stored.Fields {
		w.Header().Add(f.Name, f.Value)
	}
	w.Header().Set(HeaderResult, caller.Completed.String())
	w.Header().Set("Content-Length", strconv.Itoa(len(stored.Body)))
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}
