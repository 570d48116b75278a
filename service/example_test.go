package service_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/service"
)

// A service has three targets, one of which fails every request. The other two keep the
// service above its floor, so the failing one is ejected.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	c := &contract.Contract{Service: "viewer", Weight: contract.WeightDetection, Floor: contract.Floor{Percent: 50}}
	for _, name := range []string{"one", "two", "three"} {
		c.Targets = append(c.Targets, contract.Target{Name: name, Address: name + ":80", Zone: "ghent-a", Slots: 2})
	}
	s := service.New(c, service.Place{Zone: "ghent-a"}, now)

	for i := range 40 {
		now = now.Add(50 * time.Millisecond)
		for _, t := range c.Targets {
			outcome := link.Succeeded
			if t.Name == "two" {
				outcome = link.Failed
			}
			key := s.Link(t.Name).Target
			for _, tr := range s.Observe(link.Observation{Target: key, Outcome: outcome, Latency: 20 * time.Millisecond, At: now}) {
				fmt.Println(tr.Target, tr.From, "->", tr.To, "within 20 requests:", i < 20)
			}
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	l, slot, ok := s.Routing().Pick(rng, service.Attempt{Now: now})
	fmt.Println("picked another target:", ok && l.Target.Name != "two")
	l.Release(slot)
	// Output:
	// viewer/two active -> ejected within 20 requests: true
	// picked another target: true
}
