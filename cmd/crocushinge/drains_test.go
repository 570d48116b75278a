package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// awaitOutput repeats a command until its output contains want.
func (f *testFleet) awaitOutput(want string, args ...string) {
	f.t.Helper()
	out := ""
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if _, out = f.run(args...); strings.Contains(out, want) {
			return
		}
	}
	f.t.Fatalf("output of %v does not contain %q within 10 s: %q", args, want, out)
}

func TestDrainIsListedAndUndone(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithContract(t)
	code, out := f.run("undrain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "no drain of this target is in force"))

	code, out = f.run("drain", "--reason", "new disk", "a", "one")
	is.Equal(out, "a/one gets no more work\n")
	is.Equal(code, exitOK)
	f.awaitRevision(2)
	code, out = f.run("drains")
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(out, "a/one: drained by ana at "))
	is.True(strings.HasSuffix(out, ", reason \"new disk\"\n1 drain\n"))
	code, out = f.run("drain", "a", "one") // already in force
	is.Equal(code, exitOK)
	is.Equal(out, "a/one gets no more work\n")

	code, out = f.run("undrain", "a", "one")
	is.Equal(code, exitOK)
	is.Equal(out, "a/one gets work again\n")
	f.awaitRevision(3)
	f.awaitOutput("0 drains", "drains")
	f.awaitOutput("to=warming", "timeline", "--service", "a")
	_, out = f.run("history", "drains/a/one")
	is.True(strings.Contains(out, "drains/a/one (removed): version 2, revision 3, by ana"))
}

func TestDrainDuringOutageIsReportedAsNotKept(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithContract(t)
	f.store.Faults.SetDown(true)
	code, out := f.run("drain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "a/one gets no more work\nnot kept yet: "))
	is.True(strings.Contains(out, "Repeat the command until it is kept."))
	_, out = f.run("drains")
	is.True(strings.Contains(out, "(not kept yet)"))
	f.store.Faults.SetDown(false)
	code, out = f.run("drain", "a", "one")
	is.Equal(code, exitOK)
	is.Equal(out, "a/one gets no more work\n")
	f.awaitRevision(2)
	f.store.Faults.SetDown(true)
	code, out = f.run("undrain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "a/one stays drained: "))
	f.store.Faults.SetDown(false)
}

func TestDrainFilesAreChecked(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.writeFile("drain.yaml", "kind: drain\nservice: a\ntarget: Not a name\nreason: disk\n")
	code, out := f.run("check", f.dir)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "drain.yaml:3:9"))
	f.writeFile("drain.yaml", "kind: drain\nservice: a\ntarget: one\n")
	f.writeFile("second.yaml", "kind: drain\nservice: a\ntarget: one\n")
	code, out = f.run("check", f.dir)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "target a/one is drained by two files"))
}
