package main

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/claim"
)

// TestExplainReadsTheOutcomeInTheTable has a request whose host was killed
// before it archived its events.
func TestExplainReadsTheOutcomeInTheTable(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	home := caller.NewHomeHost("killed", 7)
	log := claim.NewOutcomeLog(f.store, home)
	id := home.NewID().String()
	log.Add(claim.RequestOutcome{Account: "bookshop", Request: id, Result: caller.Completed, Status: 200})
	is.NoErr(log.Flush(context.Background()))

	code, out := f.tool("explain", id)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "No host has recorded an end of this request."))
	is.True(strings.Contains(out, `The table keeps that its home host told account bookshop "completed".`))
	is.True(strings.Contains(out, "It ran once, and its whole answer went to the caller."))

	f.store.Faults.SetDown(true)
	code, out = f.tool("explain", id)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "incomplete: the outcome in the table was not read: 503"))
	is.True(!strings.Contains(out, "It ran once, and"))
	f.store.Faults.SetDown(false)
}
