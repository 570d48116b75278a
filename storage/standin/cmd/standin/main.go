// Command standin runs a stand-in for the platform's services that several
// daemons can share in a trial. The data is lost when the process ends.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/storage/memory"
	"github.com/crocushinge/crocushinge/storage/standin"
)

// readHeaderTimeout is the timeout of reading the headers of a request.
const readHeaderTimeout = 5 * time.Second

func main() {
	cmd := &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for the table service, the object store and the host list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "listen on `IP:PORT`", Value: "127.0.0.1:9200"},
			&cli.StringFlag{Name: "table", Usage: "serve the table `NAME`", Value: "crocushinge"},
			&cli.StringFlag{Name: "bucket", Usage: "serve the bucket `NAME`", Value: "crocushinge"},
			&cli.StringFlag{Name: "access-key-id", Usage: "take requests signed with `ID`", Value: "sample"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", cmd.String("address"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{
		ReadHeaderTimeout: readHeaderTimeout,
		Handler: standin.New(standin.Config{
			Table:       cmd.String("table"),
			Bucket:      cmd.String("bucket"),
			AccessKeyID: cmd.String("access-key-id"),
		}, memory.New()),
	}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	fmt.Fprintln(os.Stderr, "stand-in platform listens on", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
