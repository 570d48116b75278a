package caller

import (
	"testing"

	"github.com/matryer/is"
)

func TestReservationsShareTheirMemory(t *testing.T) {
	is := is.New(t)
	memory := NewMemory(100)
	a, ok := memory.NewReservation(40)
	is.True(ok)
	_, ok = memory.NewReservation(61)
	is.True(!ok)
	b, ok := memory.NewReservation(0)
	is.True(ok)
	is.True(b.Grow(60))
	is.True(!a.Grow(1))
	b.Shrink(10)
	is.True(a.Grow(10))
	b.Free()
	b.Free()
	is.Equal(memory.Used(), int64(50))
	is.True(!b.Grow(1)) // its request has ended
	b.Shrink(1)
	a.Free()
	is.Equal(memory.Used(), int64(0))
}

func TestReservationWithoutLimit(t *testing.T) {
	is := is.New(t)
	r, ok := (*Memory)(nil).NewReservation(1 << 40)
	is.True(ok)
	is.True(r.Grow(1 << 40))
	r.Shrink(1)
	r.Free()
}
