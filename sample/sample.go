// Package sample runs minimal targets on loopback, to try out the system.
package sample

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// readHeaderTimeout limits reading the header of a request.
const readHeaderTimeout = 5 * time.Second

// Addresses are the listen addresses of the sample targets. The contracts in
// examples/contracts name the same addresses.
var Addresses = []string{"127.0.0.1:9101", "127.0.0.1:9102", "127.0.0.1:9103"}

// Serve runs one sample target until ctx ends.
func Serve(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "start a sample target")
	}
	server := &http.Server{Handler: handler(address), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "run a sample target")
	}
	return nil
}

// handler serves the health check, and responds to every other request with a line
// that names the target.
func handler(address string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s answered by sample target %s, %d bytes received\n",
			r.Method, r.URL.Path, address, len(body))
	})
	return mux
}
