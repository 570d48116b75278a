// Command latency measures the latency, processor time, allocations and failures
// that one host adds to a request. The host runs as a separate process:
//
//	go build -o crocushinged ./cmd/crocushinged
//	./crocushinged --settings examples/host.yaml &
//	USER=bench go run ./cmd/crocushinge --token sample-operator-token publish bench/latency/contracts
//	go run ./bench/latency --pid $!
//
// The command itself runs the targets and the callers. It measures each rate
// alternately with direct requests to the targets and through the host.
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

// targets holds the addresses of the stand-in targets, as in
// contracts/bench.yaml.
var targets = []string{"127.0.0.1:9301", "127.0.0.1:9302", "127.0.0.1:9303"}

// Rates, in requests per second.
const (
	lowRate  = 100
	highRate = 1000
	// The search for the highest sustained rate begins at firstRate. Each
	// following rate is stepFactor times the one before, up to lastRate.
	firstRate  = 2000
	stepFactor = 1.5
	lastRate   = 40000
)

// A rate counts as served if at least servedShare of the requests succeed and
// the 99th percentile of the latency is below servedP99. The first rate that is
// not served shows the limit of the machine with host, callers and targets on it.
const (
	servedShare = 0.999
	servedP99   = 50 * time.Millisecond
)

// The users' requirements: at most 3 ms are added to 99 of 100 requests, and 890
// hosts proxy 89,000 requests per second.
const (
	maxAddedLatency  = 3 * time.Millisecond
	expectedHostRate = 89000 / 890
)

// turns is how many times each rate is measured, both directly and through the
// host.
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
		turnLength: cmd.Duration("turn"),
	}
	if err := b.waitForHost(); err != nil {
		return err
	}
	fmt.Printf("%s, %s/%s, %d processors, %s, load average %s\n",
		time.Now().UTC().Format("2006-01-02 15:04 MST"), runtime.GOOS, runtime.GOARCH,
		runtime.NumCPU(), runtime.Version(), loadAverage())
	printHeader()
	return b.run()
}

// serveTarget starts a stand-in target that responds immediately.
func serveTarget(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for the stand-in target")
	}
	body := []byte("sheet A4, 70 g, in stock: 1200\n")
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(body)
		}),
	}
	go func() { _ = server.Serve(listener) }()
	return nil
}
