package credential

import (
	"bytes"
	"os"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// contents holds the data of the files of one credential.
type contents struct {
	data [][]byte
	// faults are those found while reading. parse reports them together with the
	// faults of the data.
	faults Faults
}

// equal reports whether the data is unchanged. Contents with faults are never
// equal, so that the faults are reported again.
func (c contents) equal(other contents) bool {
	return len(c.faults) == 0 && slices.EqualFunc(c.data, other.data, bytes.Equal)
}

// Reloadable is a credential that can be reloaded from its files. Any goroutine may
// call Load; only one at a time may call Reload.
type Reloadable[T any] struct {
	read  func() (contents, error)
	parse func(contents) (T, error)
	value atomic.Pointer[T]
	// currentContents are the contents that value was parsed from.
	currentContents contents
}

// Static returns a credential without files, which never changes.
func Static[T any](value T) *Reloadable[T] {
	r := &Reloadable[T]{}
	r.value.Store(&value)
	return r
}

// newReloadable returns a credential after loading it once.
func newReloadable[T any](read func() (contents, error), parse func(contents) (T, error)) (*Reloadable[T], error) {
	r := &Reloadable[T]{read: read, parse: parse}
	_, err := r.Reload()
	return r, err
}

// newReloadableFile returns a credential of one file after loading it once. Errors
// of reading the file begin with the text of operation.
func newReloadableFile[T any](file, operation string, parse func([]byte) (T, error)) (*Reloadable[T], error) {
	return newReloadable(func() (contents, error) {
		data, err := os.ReadFile(file)
		return contents{data: [][]byte{data}}, errors.Wrap(err, operation)
	}, func(c contents) (T, error) { return parse(c.data[0]) })
}

// Load returns the current credential.
func (r *Reloadable[T]) Load() T { return *r.value.Load() }

// Reload reads the files again. If they hold a different credential without
// faults, it becomes the current one and Reload returns true. If they have
// faults, Reload returns them as an error and keeps the current credential.
func (r *Reloadable[T]) Reload() (replaced bool, err error) {
	if r.read == nil {
		return false, nil
	}
	read, err := r.read()
	if err != nil {
		return false, err
	}
	if r.value.Load() != nil && read.equal(r.currentContents) {
		return false, nil
	}
	value, err := r.parse(read)
	if err != nil {
		return false, err
	}
	r.currentContents = read
	r.value.Store(&value)
	return true, nil
}
