package service

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, unless the command line sets one,
// so that every run has the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	flag.Parse()
	os.Exit(m.Run())
}
