// Command capacity measures on this machine what each role of one host costs
// at the size for which the system is designed, and prints it beside the
// limits. It drives the control core on a virtual clock with the whole
// configuration and every peer of the fleet, so that the costs of state and
// decisions are measured at full size; the costs of a message on the network
// are measured over loopback and multiplied.
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
	size := DesignSize()
	fmt.Printf("capacity of one host, %s, %s, %d cores, %s\n\n",
		time.Now().Format(time.DateOnly), runtime.Version(), runtime.NumCPU(), cpuModel())
	fmt.Println(size)

	call, err := measureCall()
	if err != nil {
		return err
	}
	lookups := measureTables(size)
	start, err := measureStart(size)
	if err != nil {
		return err
	}
	ledger := measureLedger(size)
	quiet, err := measureControl(size, quietDay)
	if err != nil {
		return err
	}
	printMessages(call)
	printTables(lookups)
	printStart(start)
	printRoles(size, call, quiet, lookups, start, ledger)
	printStore(size, quiet)
	fmt.Println("bad days: one host's control thread and messages while others are away")
	for _, day := range []day{quietDay, rackLost, zoneLost, zoneBack, regionLost, storeAway} {
		used := quiet
		if day.name != quietDay.name {
			if used, err = measureControl(size, day); err != nil {
				return err
			}
		}
		printDay(day, call, used)
	}
	return nil
}
