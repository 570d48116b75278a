package main

import (
	"testing"

	"github.com/matryer/is"
)

// TestPublishHandsOverWhatARestoreHasLost covers a table that was restored to before the last
// publication: the unchanged document must be written again, on the table's version.
func TestPublishHandsOverWhatARestoreHasLost(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithContract(t)
	saved := f.store.CopyTable()
	f.writeFile("a.yaml", contractText("a", "/later", "bookshop"))
	f.writeFile("b.yaml", contractText("b", "/b", "bookshop"))
	code, _ := f.run("publish", f.dir)
	is.Equal(code, exitOK)
	f.awaitRevision(3)

	f.store.RestoreTable(saved)
	f.awaitRevision(1)
	code, out := f.run("get", "a")
	is.Equal(code, exitOK)
	is.Equal(out, contractText("a", "/later", "bookshop"))

	code, out = f.run("publish", f.dir)
	is.Equal(code, exitOK)
	is.Equal(out, "a: accepted, version 2, revision 2\nb: accepted, version 1, revision 3\n2 handed over, 0 unchanged\n")
	f.awaitRevision(3)
	_, out = f.run("publish", f.dir)
	is.Equal(out, "0 handed over, 2 unchanged\n")
}
