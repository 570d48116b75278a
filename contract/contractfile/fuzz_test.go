package contractfile

import (
	"os"
	"testing"
)

// FuzzParse checks that the parser reports invalid input only by findings, each
// with a file and a message, and that ParseAccepted accepts every document that
// Parse accepts.
func FuzzParse(f *testing.F) {
	everyMistake, err := os.ReadFile("testdata/every-mistake.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(everyMistake)
	f.Add([]byte(validContract))
	f.Add([]byte("kind: accounts\nname: shops\naccounts: [{name: a, key-sha256: \"\"}]\n"))
	f.Add([]byte("a: &a [*a]\n<<: {service: x}\n"))
	f.Add([]byte("? [a]\n: {b: !!int \"3\"}\n--- |\n x\n"))
	f.Add([]byte("\ufeffservice: \"\\u0000\"\n\tfloor: .nan\nload: .inf\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, findings := Parse("fuzz.yaml", data)
		if (file == nil) != (findings.HasErrors()) {
			t.Fatalf("parsed file %v does not match findings %v", file, findings)
		}
		for _, found := range findings {
			if found.File != "fuzz.yaml" || found.Message == "" {
				t.Fatalf("finding without file or message: %+v", found)
			}
		}
		if file == nil {
			return
		}
		if _, findings := ParseAccepted("table", data); findings.HasErrors() {
			t.Fatalf("accepted by Parse but not by ParseAccepted: %v", findings)
		}
	})
}
