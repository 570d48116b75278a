package contractfile

import (
	"os"
	"testing"
)

// FuzzParse checks that no input makes the parser fail otherwise than by
// findings, each with its file and, but for an input of several documents, its
// place, and that what it accepts is accepted again from the table.
func FuzzParse(f *testing.F) {
	everyMistake, err := os.ReadFile("testdata/every-mistake.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(everyMistake)
	f.Add([]byte(wholeContract))
	f.Add([]byte("kind: accounts\nname: shops\naccounts: [{name: a, key-sha256: \"\"}]\n"))
	f.Add([]byte("a: &a [*a]\n<<: {service: x}\n"))
	f.Add([]byte("? [a]\n: {b: !!int \"3\"}\n--- |\n x\n"))
	f.Add([]byte("\ufeffservice: \"\\u0000\"\n\tfloor: .nan\nload: .inf\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, findings := Parse("fuzz.yaml", data)
		if (file == nil) != (findings.Failed()) {
			t.Fatalf("file %v with findings %v", file, findings)
		}
		for _, found := range findings {
			if found.File != "fuzz.yaml" || found.Message == "" {
				t.Fatalf("finding without file or message: %+v", found)
			}
		}
		if file == nil {
			return
		}
		if _, findings := ParseAccepted("table", data); findings.Failed() {
			t.Fatalf("accepted, then refused from the table: %v", findings)
		}
	})
}
