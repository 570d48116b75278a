package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNanosUsesMonotonicClock(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.True(Nanos(now) >= 0)
	is.True(Nanos(now) < int64(time.Hour)) // since the start of the process, not since 1970
	is.Equal(Nanos(now.Add(time.Second))-Nanos(now), int64(time.Second))
	is.True(Time(Nanos(now)).Equal(now))
}

func TestSinceBootAdvances(t *testing.T) {
	is := is.New(t)
	before, began := SinceBoot(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed, steady := SinceBoot()-before, time.Since(began)
	is.True(elapsed >= 20*time.Millisecond)
	is.True(elapsed-steady < time.Second) // no suspension during the test
}
