package traffic

import (
	"regexp"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
)

// streamError has the fields of the stream error of net/http's HTTP/2 transport, whose type
// is not exported: errors.As fills in any struct with the same fields.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error implements error, as errors.As requires.
func (e streamError) Error() string { return "HTTP/2 stream error" }

// codeRefusedStream is the error code REFUSED_STREAM (RFC 9113, 7).
const codeRefusedStream = 0x7

// refusedStreamText matches the whole texts of the two errors that have no type: of a stream
// beyond the last one of a GOAWAY frame, and of a refused stream whose request has a body that
// the transport cannot send again. No byte of the peer appears in these texts. Errors that quote
// the peer, such as debug data of GOAWAY or invalid header fields, do not match as a whole.
var refusedStreamText = regexp.MustCompile(
	`^(` + goAwayText + `|http2: Transport: cannot retry err \[(` + goAwayText + `|` + streamResetText + `)\] after Request\.Body was written; define Request\.GetBody to avoid this error)$`)

const (
	goAwayText      = `http2: Transport received Server's graceful shutdown GOAWAY`
	streamResetText = `stream error: stream ID [0-9]+; REFUSED_STREAM; received from peer`
)

// isRefusedStream reports whether an error guarantees that the request was not processed
// (RFC 9113, 8.7): its stream was refused, or its id is higher than the last stream id of a
// GOAWAY frame. Only frames of HTTP/2 say so. The errors of HTTP/1.1 quote what the target
// sent, which says nothing about the request.
func isRefusedStream(err error, protocol contract.Protocol) bool {
	if protocol != contract.H2C {
		return false
	}
	var reset streamError
	if errors.As(err, &reset) {
		return reset.Code == codeRefusedStream
	}
	return refusedStreamText.MatchString(err.Error())
}
