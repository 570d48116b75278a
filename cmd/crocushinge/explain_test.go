package main

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/claim"
)

// The home host of a request was killed before it archived its events. The
// outcome in the table is then the only record of how the request ended.
func TestExplainReadsTheStoredOutcome(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	home := caller.NewHomeHost("killed", 7)
	outcomeLog := claim.NewOutcomeLog(f.store, home)
	id := home.NewID().String()
	outcomeLog.Add(claim.RequestOutcome{Account: "bookshop", Request: id, Result: caller.Completed, Status: 200})
	is.NoErr(outcomeLog.Flush(context.Background()))

	code, out := f.run("explain", id)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "No host has recorded an end of this request."))
	is.True(strings.Contains(out, `The table keeps that its home host told account bookshop "completed".`))
	is.True(strings.Contains(out, "It ran once, and its whole answer went to the caller."))

	f.store.Faults.SetDown(true)
	code, out = f.run("explain", id)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "incomplete: the outcome in the table was not read: 503"))
	is.True(!strings.Contains(out, "It ran once, and"))
	f.store.Faults.SetDown(false)
}
