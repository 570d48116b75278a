package mailbox

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestMailbox() Mailbox[*int, string, int] {
	return New[*int, string, int](Sizes{Events: 2, Observations: 4, Batch: 3})
}

func TestFullQueuesCountDrops(t *testing.T) {
	is := is.New(t)
	m := newTestMailbox()
	for i := range 6 {
		m.Observe(i)
		m.TrySend("event")
	}
	is.Equal(int(m.Dropped()), 2+4)
	is.Equal(m.Batch(<-m.Observations), []int{0, 1, 2})
	is.Equal(m.Batch(<-m.Observations), []int{3})
}

func TestCallRunsOnTheControlThread(t *testing.T) {
	is := is.New(t)
	m := newTestMailbox()
	core := 1
	go func() {
		for f := range m.Calls {
			f(&core)
		}
	}()
	got := 0
	is.NoErr(m.Call(context.Background(), func(c *int) { got = *c }))
	is.Equal(got, 1)
}

func TestStoppedControlThreadBlocksNoCaller(t *testing.T) {
	is := is.New(t)
	m := newTestMailbox()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(m.Call(ctx, func(*int) {}) != nil)
	for range 5 {
		m.Send(ctx, "event") // must return when ctx ends
	}
}
