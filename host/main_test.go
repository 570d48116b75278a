package host

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, unless the command line sets
// one, so that they give the same verdict in every run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	flag.Parse()
	os.Exit(m.Run())
}
