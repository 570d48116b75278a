package publish

import (
	"context"
	"fmt"
	"testing"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/history"
)

// writeConfiguration writes 380 contracts with 20 targets and 15 routes each,
// and 26,000 accounts in 13 documents.
func writeConfiguration(b *testing.B, s *Store) {
	b.Helper()
	revision := uint64(0)
	write := func(subject, text string) {
		revision++
		ch := contract.Change{
			Revision: revision, Subject: subject, Version: 1, Document: []byte(text),
			Proposal: "fill:" + subject, Operator: "ana", At: s.Now(),
		}
		if err := s.write(context.Background(), ch); err != nil {
			b.Fatal(err)
		}
	}
	for d := range 13 {
		text := fmt.Sprintf("kind: accounts\nname: accounts-%d\naccounts:\n", d)
		for i := range 2000 {
			text += fmt.Sprintf("  - {name: account-%d, key-sha256: \"%064x\"}\n", d*2000+i, d*2000+i+1)
		}
		write(contract.AccountsSubject(fmt.Sprintf("accounts-%d", d)), text)
	}
	for n := range 380 {
		write(fmt.Sprintf("service-%d", n), largeContract(n, 2))
	}
}

// largeContract returns a contract with 20 targets and 15 routes. Deadline is in
// seconds.
func largeContract(n, deadline int) string {
	text := fmt.Sprintf("service: service-%d\nfloor: 60%%\naccounts: [account-%d]\ntargets:\n", n, n)
	for i := range 20 {
		text += fmt.Sprintf("  - {name: target-%d, address: \"10.%d.%d.%d:8080\", zone: lima-a}\n", i, n/200, n%200, i+1)
	}
	text += "routes:\n"
	for i := range 15 {
		text += fmt.Sprintf("  - {path: /service-%d/part-%d, methods: [GET], deadline: %ds}\n", n, i, deadline)
	}
	return text
}

// BenchmarkFullLoad measures reading and parsing the whole configuration.
func BenchmarkFullLoad(b *testing.B) {
	s, _ := newStore()
	writeConfiguration(b, s)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := s.ChangesAfter(context.Background(), history.Position{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPropose measures accepting one change on a host that has the whole
// configuration in force.
func BenchmarkPropose(b *testing.B) {
	s, _ := newStore()
	writeConfiguration(b, s)
	ctx := context.Background()
	changes, position, err := s.ChangesAfter(ctx, history.Position{})
	if err != nil {
		b.Fatal(err)
	}
	view := View{Position: position, Changes: changes}
	s.InForce = func(context.Context) (View, error) { return view, nil }
	version := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		p := Proposal{
			ID: fmt.Sprintf("p%d", version), Operator: "ana", Subject: "service-7",
			Document: []byte(largeContract(7, 2+int(version%2))), Base: version,
		}
		if r, err := s.Propose(ctx, p); err != nil || r.Status != Accepted {
			b.Fatal(r, err)
		}
		version++
		newer, last, err := s.ChangesAfter(ctx, view.Position)
		if err != nil {
			b.Fatal(err)
		}
		view = View{Position: last, Changes: mergeChanges(view.Changes, newer)}
	}
}
