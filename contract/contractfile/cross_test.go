package contractfile

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
)

func mustParse(tb testing.TB, name, text string) *File {
	tb.Helper()
	f, findings := Parse(name, []byte(text))
	if err := findings.Err(); err != nil {
		tb.Fatal(err)
	}
	return f
}

func contractText(service, path, account string) string {
	return fmt.Sprintf(`service: %s
targets: [{name: one, address: "10.0.0.1:80", zone: z, slots: 4}, {name: two, address: "10.0.0.2:80", zone: z}]
routes: [{path: %s, methods: [GET]}]
floor: 4
accounts: [%s]
`, service, path, account)
}

func TestCrossCheck(t *testing.T) {
	first := mustParse(t, "a.yaml", contractText("a", "/shop", "bookshop"))
	tests := []struct {
		name string
		file *File
		want string
	}{
		{"route of another service", mustParse(t, "b.yaml", contractText("b", "/shop/", "bookshop")),
			"b.yaml:3:17: route GET /shop belongs to service a already (take the route out of one of the two)"},
		{"service in two files", mustParse(t, "b.yaml", contractText("a", "/other", "bookshop")),
			"b.yaml:1:10: service a is declared by two files (rename one of the two)"},
		{"unknown account", mustParse(t, "b.yaml", contractText("b", "/other", "bookshelf")),
			"b.yaml:5:12: account bookshelf is not defined anywhere (correct the name, or add the account to an accounts document)"},
		{"no findings", mustParse(t, "b.yaml", contractText("b", "/other", "bookshop")), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CrossCheck([]*File{first, tt.file}, nil, []string{"bookshop"}).Error(), tt.want)
		})
	}
}

func TestCrossCheckAgainstDocumentsInForce(t *testing.T) {
	is := is.New(t)
	inForce := []contract.Document{
		mustParse(t, "", contractText("a", "/shop", "bookshop")).Document,
		mustParse(t, "", contractText("b", "/b", "bookshop")).Document,
	}
	known := []string{"bookshop"}
	replacement := mustParse(t, "a.yaml", contractText("a", "/shop", "bookshop"))
	is.Equal(len(CrossCheck([]*File{replacement}, inForce, known)), 0)
	conflicting := mustParse(t, "c.yaml", contractText("c", "/b", "bookshop"))
	is.Equal(CrossCheck([]*File{conflicting}, inForce, known).Error(),
		"c.yaml:3:17: route GET /b belongs to service b already (take the route out of one of the two)")
}

// BenchmarkCheckDirectory checks 380 contracts with 15 routes and 20 targets
// each, together with 26,000 accounts.
func BenchmarkCheckDirectory(b *testing.B) {
	const services, routes, targets, accounts, perDocument = 380, 15, 20, 26_000, 2_000
	var texts []string
	for s := range services {
		text := fmt.Sprintf("service: service-%d\nfloor: 60%%\naccounts: [account-%d]\ntargets:\n", s, s)
		for i := range targets {
			text += fmt.Sprintf("  - {name: target-%d, address: \"10.%d.%d.%d:8080\", zone: lima-a}\n", i, s/200, s%200, i+1)
		}
		text += "routes:\n"
		for i := range routes {
			text += fmt.Sprintf("  - {path: /service-%d/part-%d, methods: [GET], idempotent: true, deadline: 2s}\n", s, i)
		}
		texts = append(texts, text)
	}
	for first := 0; first < accounts; first += perDocument {
		text := fmt.Sprintf("kind: accounts\nname: accounts-%d\naccounts:\n", first)
		for i := first; i < first+perDocument; i++ {
			text += fmt.Sprintf("  - {name: account-%d, key-sha256: \"%064x\"}\n", i, i+1)
		}
		texts = append(texts, text)
	}
	b.ReportAllocs()
	for b.Loop() {
		files := make([]*File, len(texts))
		for i, text := range texts {
			files[i] = mustParse(b, "file.yaml", text)
		}
		if findings := CrossCheck(files, nil, nil); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}
