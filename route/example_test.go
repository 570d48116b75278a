package route_test

import (
	"fmt"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/route"
)

// A path matches the route with the longest prefix of whole segments.
func Example() {
	table := route.NewTable([]*contract.Contract{
		{Service: "catalogue", Routes: []contract.Route{{Path: "/catalogue"}}},
		{Service: "reorders", Routes: []contract.Route{{Path: "/catalogue/reorders", Methods: []string{"POST"}}}},
	})
	for _, path := range []string{"/catalogue/prices", "/catalogue/reorders/7", "/cataloguers"} {
		match, ok := table.Find("any", path, "POST")
		fmt.Println(path, match.Service, ok)
	}
	// Output:
	// /catalogue/prices catalogue true
	// /catalogue/reorders/7 reorders true
	// /cataloguers  false
}
