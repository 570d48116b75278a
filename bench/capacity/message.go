package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/wire"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1/fleetv1connect"
)

// callCost is the cost of one call between two hosts, both sides together.
type callCost struct {
	// openConnection is the processor time of a call on an open connection,
	// newConnection that of a call that opens its own connection.
	openConnection, newConnection time.Duration
	// overhead is the number of bytes of a call besides the bodies of its
	// messages.
	overhead float64
}

// timedCalls is how many calls are measured.
const timedCalls = 3000

// pingHandler responds to pings. The other methods are not called.
type pingHandler struct {
	fleetv1connect.UnimplementedFleetServiceHandler
	response *fleetv1.Message
}

// Ping implements fleetv1connect.FleetServiceHandler.
func (h pingHandler) Ping(context.Context, *connect.Request[fleetv1.PingRequest]) (*connect.Response[fleetv1.PingResponse], error) {
	return connect.NewResponse(&fleetv1.PingResponse{Message: h.response}), nil
}

// countingConn counts the bytes of a connection, both ways.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// measureCall measures the cost of pings over loopback.
func measureCall() (callCost, error) {
	message := wire.MessageToProto(host.Message{From: identity(designSize(), 1), Revision: 380, Ready: true})
	path, handler := fleetv1connect.NewFleetServiceHandler(pingHandler{response: message})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return callCost{}, err
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	var cost callCost
	url := "http://" + listener.Addr().String()
	var bytes int64
	if cost.openConnection, bytes, err = timeCalls(url, message, false); err != nil {
		return cost, err
	}
	cost.overhead = float64(bytes)/timedCalls - 2*float64(messageSize(wire.MessageFromProto(message)))
	cost.newConnection, _, err = timeCalls(url, message, true)
	return cost, err
}

// timeCalls returns the processor time of a call and the bytes of all calls.
func timeCalls(url string, message *fleetv1.Message, newConnections bool) (perCall time.Duration, bytes int64, err error) {
	var count atomic.Int64
	var dialer net.Dialer
	transport := &http.Transport{
		DisableKeepAlives: newConnections,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return countingConn{Conn: conn, bytes: &count}, err
		},
	}
	defer transport.CloseIdleConnections()
	client := fleetv1connect.NewFleetServiceClient(&http.Client{Transport: transport}, url)
	start := processCPU()
	for range timedCalls {
		if _, err := client.Ping(context.Background(), connect.NewRequest(&fleetv1.PingRequest{Message: message})); err != nil {
			return 0, 0, err
		}
	}
	return (processCPU() - start) / timedCalls, count.Load(), nil
}

// processCPU returns the processor time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
