package traffic

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

func TestBodyReservesItsLength(t *testing.T) {
	is := is.New(t)
	memory := caller.NewMemory(10)
	empty, err := readBody(httptest.NewRequest("POST", "/", nil), 100, memory)
	is.NoErr(err)
	is.Equal(memory.Used(), int64(0))
	empty.free()
	first, err := readBody(httptest.NewRequest("POST", "/", strings.NewReader("ten sheets")), 100, memory)
	is.NoErr(err)
	is.Equal(string(first.data), "ten sheets")
	_, err = readBody(httptest.NewRequest("POST", "/", strings.NewReader("x")), 100, memory)
	is.True(errors.Is(err, errBodyMemory))
	first.free()
	is.Equal(memory.Used(), int64(0))
}

func TestReadBody(t *testing.T) {
	is := is.New(t)
	memory := caller.NewMemory(1 << 20)
	long := strings.Repeat("x", bodyChunkBytes+1)
	for name, test := range map[string]struct {
		body   io.Reader
		length int64
		want   error
	}{
		"known length":              {strings.NewReader(long), int64(len(long)), nil},
		"unknown length":            {strings.NewReader(long), -1, nil},
		"too large":                 {strings.NewReader(long + "x"), int64(len(long)) + 1, errBodyTooLarge},
		"too large, unknown length": {strings.NewReader(long + "x"), -1, errBodyTooLarge},
		"truncated":                 {strings.NewReader(long[1:]), int64(len(long)), errBodyBroken},
		"read error":                {iotest.ErrReader(io.ErrUnexpectedEOF), -1, errBodyBroken},
	} {
		r := httptest.NewRequest("POST", "/", test.body)
		r.ContentLength = test.length
		b, err := readBody(r, int64(len(long)), memory)
		if !errors.Is(err, test.want) {
			t.Errorf("%s: unexpected error %v", name, err)
		}
		b.free()
		is.Equal(memory.Used(), int64(0))
	}
}
