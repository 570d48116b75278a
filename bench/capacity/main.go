// Command capacity measures the cost of each role of one host at the size for
// which the system is designed, and prints it beside the limits. It runs the
// control core on a virtual clock with the whole configuration and every peer of
// the fleet, so that the costs of state and decisions are measured at full size.
// The network cost of one message is measured over loopback and multiplied by
// the number of messages.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	size := designSize()
	fmt.Printf("capacity of one host, %s, %s, %d cores, %s\n\n",
		time.Now().Format(time.DateOnly), runtime.Version(), runtime.NumCPU(), cpuModel())
	fmt.Println(size)

	call, err := measureCall()
	if err != nil {
		return err
	}
	tables := measureTables(size)
	start, err := measureStart(size)
	if err != nil {
		return err
	}
	ledger := measureLedger(size)
	ordinaryUsage, err := measureControl(size, ordinary)
	if err != nil {
		return err
	}
	printMessages(call)
	printTables(tables)
	printStart(start)
	printRoles(size, call, ordinaryUsage, tables, start, ledger)
	printStore(size, ordinaryUsage)
	fmt.Println("bad days: one host's control thread and messages while others are away")
	for _, sc := range []scenario{ordinary, rackLost, zoneLost, zoneBack, regionLost, storeUnavailable} {
		used := ordinaryUsage
		if sc.name != ordinary.name {
			if used, err = measureControl(size, sc); err != nil {
				return err
			}
		}
		printScenario(sc, call, used)
	}
	return nil
}
