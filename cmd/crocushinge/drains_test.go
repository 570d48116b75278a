package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// awaitOutput repeats a command until it prints a text.
func (f *fleet) awaitOutput(want string, args ...string) {
	f.t.Helper()
	out := ""
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if _, out = f.tool(args...); strings.Contains(out, want) {
			return
		}
	}
	f.t.Fatalf("%v does not print %q within 10 s, but %q", args, want, out)
}

func TestDrainIsListedAndUndone(t *testing.T) {
	is := is.New(t)
	f := newFleetInForce(t)
	code, out := f.tool("undrain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "no drain of this target is in force"))

	code, out = f.tool("drain", "--reason", "new disk", "a", "one")
	is.Equal(out, "a/one gets no more work\n")
	is.Equal(code, exitOK)
	f.awaitRevision(2)
	code, out = f.tool("drains")
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(out, "a/one: drained by ana at "))
	is.True(strings.HasSuffix(out, ", reason \"new disk\"\n1 drain\n"))
	code, out = f.tool("drain", "a", "one") // in force already
	is.Equal(code, exitOK)
	is.Equal(out, "a/one gets no more work\n")

	code, out = f.tool("undrain", "a", "one")
	is.Equal(code, exitOK)
	is.Equal(out, "a/one gets work again\n")
	f.awaitRevision(3)
	f.awaitOutput("0 drains", "drains")
	f.awaitOutput("to=warming", "timeline", "--service", "a")
	_, out = f.tool("history", "drains/a/one")
	is.True(strings.Contains(out, "drains/a/one (removed): version 2, revision 3, by ana"))
}

func TestDrainDuringAnOutageSaysThatItIsNotKept(t *testing.T) {
	is := is.New(t)
	f := newFleetInForce(t)
	f.store.Faults.SetDown(true)
	code, out := f.tool("drain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "a/one gets no more work\nnot kept yet: "))
	is.True(strings.Contains(out, "Repeat the command until it is kept."))
	_, out = f.tool("drains")
	is.True(strings.Contains(out, "(not kept yet)"))
	f.store.Faults.SetDown(false)
	code, out = f.tool("drain", "a", "one")
	is.Equal(code, exitOK)
	is.Equal(out, "a/one gets no more work\n")
	f.awaitRevision(2)
	f.store.Faults.SetDown(true)
	code, out = f.tool("undrain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "a/one stays drained: "))
	f.store.Faults.SetDown(false)
}

func TestDrainFileIsADocument(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.write("drain.yaml", "kind: drain\nservice: a\ntarget: Not a name\nreason: disk\n")
	code, out := f.tool("check", f.dir)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "drain.yaml:3:9"))
	f.write("drain.yaml", "kind: drain\nservice: a\ntarget: one\n")
	f.write("second.yaml", "kind: drain\nservice: a\ntarget: one\n")
	code, out = f.tool("check", f.dir)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "target a/one is drained by two files"))
}
