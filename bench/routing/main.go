// Command routing compares strategies for choosing a target, on generated
// requests of one service through its entry set, in virtual time.
package main

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

const (
	defaultSeed = 1
	runTime     = 60 * time.Second
)

func main() {
	seed := flag.Uint64("seed", defaultSeed, "seed of the generator")
	flag.Parse()
	fmt.Printf("seed %d; %d targets x %d slots, %d hosts, %d zones, %s between zones, %.0f%% of the capacity\n",
		*seed, targets, slots, hosts, zones, oneWay, 100*load)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "targets\tchoice\tp50\tp99\tsame zone\tto the odd target\tno slot\tfailed")
	for _, sc := range scenarios {
		for _, st := range strategies {
			f := newFleet(*seed, sc, st)
			f.run(runTime)
			fmt.Fprintf(tw, "%s\t%s\t%s\n", sc.name, st.name, f.summary())
		}
	}
	_ = tw.Flush()
}
