package traffic

import (
	"io"
	"net/http/httptest"
	"runtime"
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
	data, err := io.ReadAll(first.data.reader())
	is.NoErr(err)
	is.Equal(string(data), "ten sheets")
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

// TestBodyTakesNoMoreMemoryThanIsReserved guards against a host that exceeds its memory because the buffer
// of a body takes several times what is reserved for it.
func TestBodyTakesNoMoreMemoryThanIsReserved(t *testing.T) {
	for _, length := range []int64{8 << 20, -1} {
		is := is.New(t)
		memory := caller.NewMemory(1 << 30)
		r := httptest.NewRequest("POST", "/", io.LimitReader(zeros{}, 8<<20))
		r.ContentLength = length
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		b, err := readBody(r, 8<<20, memory)
		is.NoErr(err)
		runtime.ReadMemStats(&after)
		allocated := int64(after.TotalAlloc - before.TotalAlloc) // also what is garbage by now
		t.Logf("%d bytes allocated, %d reserved", allocated, memory.Used())
		is.True(allocated < memory.Used()*11/10)
		var total int64
		for _, segment := range b.data.list {
			total += int64(cap(segment))
		}
		is.True(total <= memory.Used())
		copied, err := io.Copy(io.Discard, b.data.reader())
		is.NoErr(err)
		is.Equal(copied, int64(8<<20))
		b.free()
		is.Equal(memory.Used(), int64(0))
	}
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
