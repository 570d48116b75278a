package traffic

import "io"

// firstSegmentBytes is the size of the first segment of a body of unknown length. Each further one is
// twice as long, up to bodyChunkBytes.
const firstSegmentBytes int64 = 1 << 10

// segments is data in pieces. A further piece moves none of the earlier ones, so that data that grows takes
// no more memory than its size.
type segments struct {
	list [][]byte
	size int64
}

// next returns the size of the next segment of data of the given length; a negative length is unknown.
func (s *segments) next(length int64) int64 {
	if length >= 0 {
		return min(bodyChunkBytes, length-s.size)
	}
	return min(bodyChunkBytes, firstSegmentBytes<<min(len(s.list), 10))
}

// read reads the next segment, of n bytes. Less have been read if there is an error, which is that of r.
func (s *segments) read(r io.Reader, n int64) error {
	segment := make([]byte, n)
	got := 0
	var err error
	for got < len(segment) && err == nil {
		var read int
		read, err = r.Read(segment[got:])
		got += read
	}
	if got == len(segment) {
		err = nil // comes again at the next read
	}
	if got > 0 {
		s.list = append(s.list, segment[:got])
		s.size += int64(got)
	}
	return err
}

// reader returns a reader of the data from its beginning.
func (s *segments) reader() *segmentReader { return &segmentReader{rest: s.list} }

// segmentReader reads segments.
type segmentReader struct {
	// current is what is left of the segment before rest.
	current []byte
	rest    [][]byte
}

// Read implements io.Reader.
func (r *segmentReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		if len(r.current) == 0 {
			if len(r.rest) == 0 {
				break
			}
			r.current, r.rest = r.rest[0], r.rest[1:]
		}
		copied := copy(p[n:], r.current)
		n, r.current = n+copied, r.current[copied:]
	}
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, nil
}
