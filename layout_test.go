package crocushinge_test

import (
	"os/exec"
	"strings"
	"testing"
)

// decisionPackages hold decisions only.
var decisionPackages = []string{
	"./zone", "./contract", "./target", "./link", "./service", "./route", "./caller", "./host", "./timeline", "./finding",
}

// encodings are what decision packages must not depend on, even indirectly.
var encodings = []string{
	"net/http", "encoding/json", "github.com/kataras/iris", "connectrpc.com/connect",
	"google.golang.org/protobuf", "github.com/aws/", "github.com/goccy/go-yaml",
	"github.com/crocushinge/crocushinge/wire", "github.com/crocushinge/crocushinge/traffic",
	"github.com/crocushinge/crocushinge/daemon",
}

func TestDecisionsDependOnNoEncoding(t *testing.T) {
	for _, pkg := range decisionPackages {
		out, err := exec.Command("go", "list", "-deps", pkg).Output()
		if err != nil {
			t.Fatalf("go list %s: %v", pkg, err)
		}
		for dep := range strings.FieldsSeq(string(out)) {
			for _, banned := range encodings {
				if strings.HasPrefix(dep, banned) {
					t.Errorf("%s depends on %s", pkg, dep)
				}
			}
		}
	}
}
