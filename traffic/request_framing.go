package traffic

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

// maxFramingLine is how much of a line is kept: what tells how a message is framed is shorter.
const maxFramingLine = 128

// errFramingLine means that a field that frames the message is too long.
var errFramingLine = errors.New("the head has a too long Content-Length or Transfer-Encoding")

// errTrailerLines means that the fields behind a body in chunks take too many lines, or that there is no
// memory for them.
var errTrailerLines = errors.New("the trailer has too many lines")

// framingState is the part of a message that the next byte belongs to.
type framingState int

const (
	inHead framingState = iota
	// inBody is a body of a stated length, or the data of a chunk.
	inBody
	inChunkSize
	inTrailer
	// inOtherProtocol is what follows the preface of HTTP/2.
	inOtherProtocol
)

// requestFraming finds the parts of the requests on a connection of HTTP/1.1, whatever pieces they arrive
// in, and measures heads and trailers. It reads the fields that frame a message by the rules of net/http,
// whose server reads the same bytes after it. What that server rejects, it may take for anything: the
// connection ends then.
type requestFraming struct {
	state framingState
	// meter measures the head or the trailer that is being read.
	meter headMeter
	// remaining is how much of inBody is to come. chunked is set if a chunk's size follows.
	remaining uint64
	chunked   bool

	// line is the beginning of the current line.
	line []byte
	// version is the end of the request line.
	version [len("HTTP/1.1")]byte
	// requestLine is set once the request line has been read.
	requestLine bool
	fields      framingFields
}

// framingFields are the values of the fields that frame a message.
type framingFields struct {
	lengths, codings []string
	// tooLong is set if a part of a value was not kept.
	tooLong bool
	// open is the field that a continuation line belongs to; nil for any other.
	open *[]string
}

// newRequestFraming returns the framing of a new connection, or that behind a message. The memory of the
// next head grows held.
func newRequestFraming(held *caller.Reservation) requestFraming {
	return requestFraming{meter: headMeter{held: held}}
}

// scan consumes bytes up to the end of the message that the first one belongs to. It returns their number
// and whether the message has ended.
func (f *requestFraming) scan(p []byte) (n int, ended bool, err error) {
	for n < len(p) && !ended && err == nil {
		var used int
		switch f.state {
		case inHead:
			used, ended, err = f.scanHead(p[n:])
		case inBody:
			used = int(min(f.remaining, uint64(len(p)-n)))
			f.remaining -= uint64(used)
			ended = f.remaining == 0 && !f.chunked
			if f.remaining == 0 && f.chunked {
				f.state = inChunkSize
			}
		case inChunkSize:
			used, ended = f.scanChunkSize(p[n:])
		case inTrailer:
			used, ended, err = f.scanTrailer(p[n:])
		case inOtherProtocol:
			return len(p), false, nil
		}
		n += used
	}
	return n, ended, err
}

// takeLine keeps the beginning of the current line. It returns how many bytes belong to the line, and
// whether it is complete.
func (f *requestFraming) takeLine(p []byte) (used int, complete bool) {
	line, _, complete := bytes.Cut(p, []byte{'\n'})
	used = len(line)
	if complete {
		used++
	}
	f.line = append(f.line, line[:min(len(line), maxFramingLine-len(f.line))]...)
	return used, complete
}

func (f *requestFraming) scanHead(p []byte) (used int, ended bool, err error) {
	used, complete := f.takeLine(p)
	if !f.requestLine {
		f.keepVersion(bytes.TrimRight(p[:used], "\r\n"))
	}
	if err := f.meter.scan(p[:used]); err != nil {
		return used, false, err
	}
	if !complete {
		return used, false, nil
	}
	if line := bytes.TrimSuffix(f.line, []byte{'\r'}); f.requestLine {
		f.fields.add(line, len(f.line) == maxFramingLine)
	} else {
		f.requestLine = len(line) > 0
	}
	f.line = f.line[:0]
	if !f.meter.ended {
		return used, false, nil
	}
	if f.fields.tooLong {
		return used, false, errFramingLine
	}
	return used, f.endHead(), nil
}

// keepVersion keeps the last bytes of the request line.
func (f *requestFraming) keepVersion(p []byte) {
	p = p[max(0, len(p)-len(f.version)):]
	copy(f.version[:], f.version[len(p):])
	copy(f.version[len(f.version)-len(p):], p)
}

// endHead decides how the body is framed and reports whether there is none. A head that net/http rejects
// counts as one without a body.
func (f *requestFraming) endHead() (ended bool) {
	fields := f.fields
	f.fields = framingFields{}
	switch {
	case f.meter.http2:
		f.state = inOtherProtocol
		return false
	case len(fields.codings) > 0 && f.mayBeCoded():
		if len(fields.codings) > 1 || !strings.EqualFold(fields.codings[0], "chunked") {
			return true
		}
		f.state, f.chunked = inChunkSize, true
		return false
	case len(fields.lengths) > 0:
		length, err := strconv.ParseUint(fields.lengths[0], 10, 63)
		f.state, f.remaining = inBody, length
		return err != nil || length == 0
	default:
		return true
	}
}

// mayBeCoded reports whether the version of the request has transfer codings.
func (f *requestFraming) mayBeCoded() bool {
	version := string(f.version[:])
	return version != "HTTP/1.0" && !strings.HasPrefix(version, "HTTP/0.")
}

// add takes a line of a head. Only the fields that frame a message are kept.
func (f *framingFields) add(line []byte, truncated bool) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		if f.open != nil {
			values := *f.open
			values[len(values)-1] = strings.TrimSpace(values[len(values)-1] + " " + string(bytes.TrimSpace(line)))
			f.tooLong = f.tooLong || truncated || len(values[len(values)-1]) > maxFramingLine
		}
		return
	}
	f.open = nil
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.open = &f.lengths
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.open = &f.codings
	default:
		return
	}
	f.tooLong = f.tooLong || truncated
	if len(*f.open) < 2 { // net/http rejects several values that differ
		*f.open = append(*f.open, string(bytes.TrimSpace(value)))
	}
}

// scanChunkSize reads the line with the size of a chunk. A line that net/http rejects ends the message.
func (f *requestFraming) scanChunkSize(p []byte) (used int, ended bool) {
	used, complete := f.takeLine(p)
	if !complete {
		return used, false
	}
	text, _, _ := strings.Cut(strings.TrimRight(string(f.line), " \t\r"), ";")
	f.line = f.line[:0]
	size, err := strconv.ParseUint(text, 16, 63)
	switch {
	case err != nil:
		return used, true
	case size == 0:
		f.state = inTrailer
		f.meter = headMeter{held: f.meter.held, began: true}
	default:
		f.state, f.remaining = inBody, size+uint64(len("\r\n"))
	}
	return used, false
}

func (f *requestFraming) scanTrailer(p []byte) (used int, ended bool, err error) {
	used, _ = f.takeLine(p)
	f.line = f.line[:0]
	if f.meter.scan(p[:used]) != nil {
		return used, false, errTrailerLines
	}
	return used, f.meter.ended, nil
}
