// Command hedging measures request hedging: a second attempt at another target
// after a delay, compared with no second attempt. It generates the requests of
// one service through its entry set in virtual time; the same flags give the
// same table.
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
	runTime     = 120 * time.Second
)

func main() {
	seed := flag.Uint64("seed", defaultSeed, "seed of the generator")
	length := flag.Duration("length", runTime, "virtual time of each row")
	flag.Parse()
	fmt.Printf("seed %d; %s a row; median latency %s; nothing is ejected; a canceled attempt frees its slot at once\n", *seed, *length, medianLatency)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "service\ttargets\tload\thedge\tp50\tp95\tp99\tp99.9\tattempts/requests\tgoodput/s\tnot run")
	for _, d := range deployments {
		for _, b := range behaviors {
			for _, load := range loads {
				for _, p := range policies {
					f := newFleet(*seed, d, b, load, p)
					f.run(*length)
					fmt.Fprintf(tw, "%s\t%s\t%.1fx\t%s\t%s\n", d.name, b.name, load, p.name, f.summary(*length))
				}
			}
		}
	}
	_ = tw.Flush()
}

// loads are multiples of the capacity.
var loads = []float64{0.3, 0.5, 0.8, 1, 2}

// policy determines when a second attempt is sent.
type policy struct {
	name string
	// quantile is the quantile of the recent latencies after which the second
	// attempt is sent; 0 means no second attempt.
	quantile float64
	// whileQueued allows the second attempt while requests wait for a slot.
	whileQueued bool
}

var policies = []policy{
	{name: "none"},
	{name: "p95", quantile: 0.95},
	{name: "p99", quantile: 0.99},
}
