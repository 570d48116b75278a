package traffic

import (
	"bytes"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

const (
	// maxHeadLines limits the lines of a head. A parsed line takes much more memory than its
	// bytes, so that a limit on the bytes alone bounds little.
	maxHeadLines = 512
	// headLineBytes is the memory that is reserved for a line besides its bytes: its entry in a
	// map, its strings and its slice of values.
	headLineBytes = 256
	// headAllowance is the memory of a head that needs no reservation of its own. Ordinary heads
	// are smaller.
	headAllowance = 4 << 10
)

// Errors of a head.
var (
	errHeadLines  = errors.New("the head has too many lines")
	errHeadMemory = errors.New("too many heads are held in memory")
)

// headMeter measures the bytes of a head of HTTP/1.1 while they are read, and reserves the memory
// that the parsed head takes. One goroutine uses it at a time.
type headMeter struct {
	// held is the reservation that grows; nil for none.
	held *caller.Reservation
	// interims is set when heads with status 1xx may come before the final one.
	interims bool

	lines, bytes, reserved int
	// first is the beginning of the current head's first line, of firstLength bytes. Empty lines
	// before it are skipped.
	first       [len("HTTP/1.1 1")]byte
	firstLength int
	// began is set once the first line has ended.
	began bool
	// lineLength is the length of the current line so far, without carriage returns.
	lineLength int
	ended      bool
	// http2 is set when the head was the preface of HTTP/2, whose heads are no lines.
	http2 bool
}

// scan measures the next bytes. What comes after the end of the head is ignored.
func (m *headMeter) scan(p []byte) error {
	for len(p) > 0 && !m.ended {
		line, rest, lineEnds := bytes.Cut(p, []byte{'\n'})
		if !m.began {
			m.firstLength += copy(m.first[m.firstLength:], bytes.TrimRight(line, "\r"))
		}
		m.lineLength += len(line) - bytes.Count(line, []byte{'\r'})
		m.bytes += len(p) - len(rest)
		if !lineEnds {
			break
		}
		m.endLine()
		p = rest
	}
	if m.lines > maxHeadLines {
		return errHeadLines
	}
	size := m.bytes + m.lines*headLineBytes
	if growth := size - headAllowance - m.reserved; growth > 0 {
		if !m.held.Grow(int64(growth)) {
			return errHeadMemory
		}
		m.reserved += growth
	}
	return nil
}

// endLine counts a line. An empty line ends the head once it has begun.
func (m *headMeter) endLine() {
	m.lines++
	empty := m.lineLength == 0
	m.lineLength = 0
	if !empty {
		m.began = true
		return
	}
	if !m.began {
		return
	}
	first := m.first[:m.firstLength]
	m.http2 = bytes.HasPrefix(first, []byte("PRI * "))
	m.ended = !m.interims || !isInterim(first)
	m.began, m.firstLength = false, 0
}

// isInterim reports whether a head begins like that of a response with status 1xx.
func isInterim(first []byte) bool {
	return bytes.HasPrefix(first, []byte("HTTP/1.")) && bytes.HasSuffix(first, []byte(" 1"))
}
