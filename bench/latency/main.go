// Command latency measures what one host adds to a request: latency, processor
// time, allocations and failures. The host runs as a process of its own:
//
//	go build -o crocushinged ./cmd/crocushinged
//	./crocushinged --settings examples/host.yaml &
//	USER=bench go run ./cmd/crocushinge --token sample-operator-token publish bench/latency/contracts
//	go run ./bench/latency --pid $!
//
// The command itself runs the targets and the callers. Each rate is measured
// directly to the targets and through the host by turns, in one run.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// targets are where the stand-in targets listen, as in contracts/bench.yaml.
var targets = []string{"127.0.0.1:9301", "127.0.0.1:9302", "127.0.0.1:9303"}

// Rates, in requests a second.
const (
	lowRate  = 100
	highRate = 1000
	// firstRate is where the search for the highest sustained rate begins;
	// each further rate is stepFactor times the one before.
	firstRate  = 2000
	stepFactor = 1.5
	lastRate   = 40000
)

// A rate is served while this share of the requests is answered and the 99th
// percentile stays below the bound. It shows where the host, the callers and
// the targets together reach what the machine can do.
const (
	servedShare = 0.999
	servedP99   = 50 * time.Millisecond
)

// The users' words: 3 ms added to a request for 99 in 100; 89,000 requests a
// second before 890 hosts.
const (
	addedBound = 3 * time.Millisecond
	hostRate   = 89000 / 890
)

// turns is how often each rate is measured directly and through the host.
const turns = 5

func main() {
	cmd := &cli.Command{
		Name:  "latency",
		Usage: "measure what one host adds to a request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "`ADDRESS` of the host", Value: "127.0.0.1:8080"},
			&cli.StringFlag{Name: "api", Usage: "`ADDRESS` of the host's API", Value: "127.0.0.1:8081"},
			&cli.StringFlag{Name: "key", Usage: "`KEY` of the account", Value: "bookshop-key"},
			&cli.IntFlag{Name: "pid", Usage: "process `ID` of the host, for its processor time", Required: true},
			&cli.DurationFlag{Name: "turn", Usage: "`TIME` of one turn", Value: 5 * time.Second},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	for _, address := range targets {
		if err := serveTarget(address); err != nil {
			return err
		}
	}
	b := bench{
		direct: newCaller(targets, ""),
		host:   newCaller([]string{cmd.String("host")}, cmd.String("key")),
		process: process{
			pid:     cmd.Int("pid"),
			metrics: "http://" + cmd.String("api") + "/metrics",
		},
		turn: cmd.Duration("turn"),
	}
	if err := b.awaitHost(); err != nil {
		return err
	}
	fmt.Printf("%s, %s/%s, %d processors, %s, load average %s\n",
		time.Now().UTC().Format("2006-01-02 15:04 MST"), runtime.GOOS, runtime.GOARCH,
		runtime.NumCPU(), runtime.Version(), loadAverage())
	printHead()
	return b.run()
}

// serveTarget runs a target that answers at once.
func serveTarget(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in target")
	}
	answer := []byte("sheet A4, 70 g, in stock: 1200\n")
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(answer)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	return nil
}
