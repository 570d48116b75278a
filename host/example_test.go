package host_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/zone"
)

// The control thread of a program that embeds a Core passes events to it and
// carries out the returned effects.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	core := host.New(host.Config{
		Self:   host.Identity{ID: "host-a", Incarnation: 1, Zone: "lima-a", Address: "127.0.0.1:8080"},
		Zones:  zone.NewMap([]zone.Zone{{ID: "lima-a", Region: "lima"}}, nil),
		Timing: host.DefaultTiming(),
		Rand:   rand.New(rand.NewPCG(1, 1)),
	})
	var snapshot *host.Snapshot
	handle := func(ev host.Event) {
		for _, e := range core.Handle(now, ev) {
			switch e := e.(type) {
			case host.Publish:
				snapshot = e.Snapshot
			case host.ReadConfiguration:
				fmt.Println("read the configuration after revision", e.After.Revision)
			}
		}
	}
	handle(host.Tick{})
	handle(host.ConfigurationRead{FromStore: true, Revision: 1, Changes: []contract.Change{{
		Revision: 1, Subject: "catalogue", Version: 1, Contract: &contract.Contract{
			Service: "catalogue",
			Targets: []contract.Target{{Name: "one", Address: "127.0.0.1:9101", Zone: "lima-a", Slots: 4}},
			Routes:  []contract.Route{{Path: "/catalogue", Idempotent: true, Deadline: time.Second}},
		},
	}}})
	match, ok := snapshot.Routes.Find("shop.example", "/catalogue/prices", "GET")
	fmt.Println("route:", match.Service, ok)
	fmt.Println("links:", len(snapshot.Services["catalogue"].Links))
	// Output:
	// read the configuration after revision 0
	// route: catalogue true
	// links: 1
}
