package credential

import (
	"bytes"
	"os"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// contents is what was read from the files of one credential.
type contents struct {
	data [][]byte
	// faults are those of the files themselves, for parse to report with the
	// faults of what they hold.
	faults Faults
}

func (c contents) equal(other contents) bool {
	return len(c.faults) == 0 && slices.EqualFunc(c.data, other.data, bytes.Equal)
}

// Watched is a credential in force that is read again from its files. Any
// goroutine may ask for it; one at a time may refresh it.
type Watched[T any] struct {
	read  func() (contents, error)
	parse func(contents) (T, error)
	value atomic.Pointer[T]
	// inForce is what value was made from.
	inForce contents
}

// Fixed returns a credential that has no files and never changes.
func Fixed[T any](value T) *Watched[T] {
	w := &Watched[T]{}
	w.value.Store(&value)
	return w
}

// watch reads a credential for the first time.
func watch[T any](read func() (contents, error), parse func(contents) (T, error)) (*Watched[T], error) {
	w := &Watched[T]{read: read, parse: parse}
	_, err := w.Refresh()
	return w, err
}

// watchFile reads a credential of one file for the first time. Errors of the
// reading begin with what was tried.
func watchFile[T any](file, tried string, parse func([]byte) (T, error)) (*Watched[T], error) {
	return watch(func() (contents, error) {
		data, err := os.ReadFile(file)
		return contents{data: [][]byte{data}}, errors.Wrap(err, tried)
	}, func(c contents) (T, error) { return parse(c.data[0]) })
}

// Load returns the credential in force.
func (w *Watched[T]) Load() T { return *w.value.Load() }

// Refresh reads the files again. When they hold another credential without
// faults, that is in force from then on and Refresh returns true. When they
// are at fault, the error says why and what was in force stays so.
func (w *Watched[T]) Refresh() (replaced bool, err error) {
	if w.read == nil {
		return false, nil
	}
	read, err := w.read()
	if err != nil {
		return false, err
	}
	if w.value.Load() != nil && read.equal(w.inForce) {
		return false, nil
	}
	value, err := w.parse(read)
	if err != nil {
		return false, err
	}
	w.inForce = read
	w.value.Store(&value)
	return true, nil
}
