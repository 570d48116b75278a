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

// Sizes of answers, in bytes.
const (
	// holdLimit is how much of an answer is held back until it is known
	// whether the answer is whole.
	holdLimit = 64 << 10
	// keepLimit is the largest answer kept for repeats of the request.
	keepLimit = 4 << 10
)

// errUnbounded means that an answer announced neither its length nor its end,
// so that a cut cannot be told from the end.
var errUnbounded = errors.New("the answer announces neither its length nor its end")

// errTooLong means that an answer is longer than it announced.
var errTooLong = errors.New("the answer is longer than it announced")

// bounded reports whether the end of the answer can be told from a cut.
func bounded(resp *http.Response) bool {
	if resp.ProtoMajor >= 2 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return true
	}
	return resp.Body == http.NoBody
}

// hold reads the answer up to holdLimit. whole is set when that was all of it.
func (a *attempt) hold() (held []byte, whole bool, err error) {
	if !bounded(a.response) {
		return nil, false, errUnbounded
	}
	return holdAnswer(a.response)
}

// holdAnswer reads an answer up to holdLimit. whole is set when that was all of
// it.
func holdAnswer(resp *http.Response) (held []byte, whole bool, err error) {
	if length := resp.ContentLength; length >= 0 && length < holdLimit {
		held, err = readAnnounced(resp.Body, length)
	} else {
		held, err = io.ReadAll(io.LimitReader(resp.Body, holdLimit))
	}
	if err != nil {
		return nil, false, errors.Wrap(err, "the answer was cut short")
	}
	return held, len(held) < holdLimit, nil
}

// readAnnounced reads a body to its end, which it has after the announced
// length or, as an answer to HEAD, at once.
func readAnnounced(r io.Reader, length int64) ([]byte, error) {
	// One byte more than the length lets the last read meet the end.
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
	return nil, errTooLong
}

// fail gives up an answer that is not whole.
func (a *attempt) fail() {
	a.outcome = link.Failed
	a.close()
}

// close ends the attempt after its answer was read or given up.
func (a *attempt) close() {
	_ = a.response.Body.Close()
	a.finish()
}

// keep returns the whole answer for repeats, or nil when it is too large.
func (a *attempt) keep(body []byte) *caller.Response {
	if len(body) > keepLimit {
		return nil
	}
	header := make(http.Header)
	answerHeaders(header, a.response)
	header.Del("Trailer")
	answer := &caller.Response{Status: a.response.StatusCode, Body: body}
	for name, values := range header {
		for _, v := range values {
			answer.Fields = append(answer.Fields, caller.HeaderField{Name: name, Value: v})
		}
	}
	return answer
}

// writeHead passes the answer's head on.
func (a *attempt) writeHead(w http.ResponseWriter, result caller.Result) {
	answerHeaders(w.Header(), a.response)
	w.Header().Set(HeaderResult, result.String())
	w.WriteHeader(a.response.StatusCode)
}

// stream passes the rest of an answer on. When the caller has gone it reads on
// to learn whether the answer is whole. The error is that of the target.
func (a *attempt) stream(w http.ResponseWriter, held []byte) error {
	return streamAnswer(w, a.response, held)
}

// streamAnswer passes on what was held of an answer and the rest of it.
func streamAnswer(w http.ResponseWriter, resp *http.Response, held []byte) error {
	if err := copyBody(w, io.MultiReader(bytes.NewReader(held), resp.Body)); err != nil {
		return errors.Wrap(err, "the answer was cut short")
	}
	writeTrailers(w, resp)
	return nil
}

// copyBody copies src to w, flushing what has arrived before it waits for
// more. It fails only with an error of src.
func copyBody(w http.ResponseWriter, src io.Reader) error {
	flush := http.NewResponseController(w).Flush
	buf := make([]byte, copyBuffer)
	gone := false
	for {
		n, err := src.Read(buf)
		if n > 0 && !gone {
			_, writeErr := w.Write(buf[:n])
			gone = writeErr != nil || flush() != nil
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// copyBuffer is the size of the buffer of copyBody, in bytes.
const copyBuffer = 16 << 10

// writeKept repeats an answer that was kept.
func writeKept(w http.ResponseWriter, answer *caller.Response) {
	for _, f := range answer.Fields {
		w.Header().Add(f.Name, f.Value)
	}
	w.Header().Set(HeaderResult, caller.Completed.String())
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
