package caller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
)

// A copy of a request that was delayed in the network arrives after another
// copy was refused as not run.
func TestNotRunIsFinal(t *testing.T) {
	is := is.New(t)
	l := caller.NewLedger()
	_, ok := l.Begin("shop", "a.1.1.x", time.Minute)
	is.True(ok)
	l.End("shop", "a.1.1.x", caller.NotRun, 0)
	e, ok := l.Begin("shop", "a.1.1.x", time.Minute)
	is.True(!ok) // the late copy must not be dispatched
	is.Equal(e.Result, caller.NotRun)
}
