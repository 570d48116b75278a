package caller_test

import (
	"fmt"

	"github.com/crocushinge/crocushinge/caller"
)

// A host issues an id, dispatches the request that carries it, and finds the
// outcome in its ledger when the request is repeated.
func Example() {
	home := caller.NewHomeHost("host-a", 1)
	ledger := caller.NewLedger(caller.DefaultLedgerLimits())
	fingerprint := caller.NewFingerprint("POST", "reorders", "/reorders", []byte("ten sheets"))

	id, err := caller.ParseRequestID(home.NewID().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("this host's own:", home.Owns(id))

	record, decision := ledger.Begin(home.Uptime(), "bookshop", id, fingerprint)
	fmt.Println("dispatch:", decision == caller.Dispatch)
	record.End(caller.Outcome{Result: caller.Completed, Status: 201})

	record, decision = ledger.Begin(home.Uptime(), "bookshop", id, fingerprint)
	fmt.Println("repeated:", decision == caller.Repeated, record.Outcome().Result, record.Outcome().Status)
	// Output:
	// this host's own: true
	// dispatch: true
	// repeated: true completed 201
}
