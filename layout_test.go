package crocushinge_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// decisionPackages hold decisions only.
var decisionPackages = []string{
	"./zone", "./contract", "./target", "./link", "./service", "./route", "./caller", "./host", "./timeline", "./finding",
	"./discovery", "./pool", "./fleet",
}

// encodings are what decision packages must not depend on, even indirectly.
var encodings = []string{
	"net/http", "encoding/json", "github.com/kataras/iris", "connectrpc.com/connect",
	"google.golang.org/protobuf", "github.com/aws/", "github.com/goccy/go-yaml",
	"github.com/crocushinge/crocushinge/wire", "github.com/crocushinge/crocushinge/traffic",
	"github.com/crocushinge/crocushinge/daemon", "github.com/crocushinge/crocushinge/gateway",
	"github.com/crocushinge/crocushinge/platform",
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

// wireNames are names of the users' platform.
var wireNames = []string{
	"X-Crocushinge-", "/v1/rows-", "/v1/resolve", "/v1/ready", "CROCUSHINGE_CONFIG", "max_attempts", "warmup_left_ms",
	"traffic_split", "internal_ports", "config_apply_ms",
}

// platformUser is the only program that runs on the users' platform.
const platformUser = "github.com/crocushinge/crocushinge/cmd/crocushinge-gateway"

// platformPackage is the adapter, and platformStandIns are the stand-ins of what is
// around it, which only tests use.
const (
	platformPackage  = "github.com/crocushinge/crocushinge/platform"
	platformStandIns = platformPackage + "/platformtest"
)

func TestOnlyTheAdapterKnowsTheUsersPlatform(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}}{{"\t"}}{{.Dir}}{{"\t"}}{{join .GoFiles " "}}{{"\t"}}{{join .Imports " "}}`, "./...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	for line := range strings.Lines(string(out)) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		pkg, dir := fields[0], fields[1]
		if pkg == platformPackage || pkg == platformStandIns {
			continue
		}
		for file := range strings.FieldsSeq(fields[2]) {
			checkWireNames(t, filepath.Join(dir, file))
		}
		if len(fields) > 3 && pkg != platformUser && slices.Contains(strings.Fields(fields[3]), platformPackage) {
			t.Errorf("%s imports the adapter", pkg)
		}
		if len(fields) > 3 && slices.Contains(strings.Fields(fields[3]), platformStandIns) {
			t.Errorf("%s imports the stand-ins of tests", pkg)
		}
	}
}

func checkWireNames(t *testing.T, path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range wireNames {
		if strings.Contains(string(text), name) {
			t.Errorf("%s has the platform's name %q", path, name)
		}
	}
}

// TestDecisionsDoNotCountByTheTimeOfDay: the time of day jumps, and what was counted by it
// jumps too. timeline stamps its events with it.
func TestDecisionsDoNotCountByTheTimeOfDay(t *testing.T) {
	for _, pkg := range decisionPackages {
		if pkg == "./timeline" {
			continue
		}
		files, err := filepath.Glob(filepath.Join(pkg, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasSuffix(file, "_test.go") && strings.Contains(string(text), ".Unix") {
				t.Errorf("%s takes a number from the time of day", file)
			}
		}
	}
}
