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

// callCost is what one call between two hosts costs, both sides together.
type callCost struct {
	// warm is the processor time of a call on an open connection, cold that
	// of one that opens a connection for itself.
	warm, cold time.Duration
	// overhead is the bytes of a call besides the bodies of its messages.
	overhead float64
}

// calls is how many calls are measured.
const calls = 3000

// pinger answers pings; the other methods are not called.
type pinger struct {
	fleetv1connect.UnimplementedFleetServiceHandler
	answer *fleetv1.Message
}

// Ping implements fleetv1connect.FleetServiceHandler.
func (p pinger) Ping(context.Context, *connect.Request[fleetv1.PingRequest]) (*connect.Response[fleetv1.PingResponse], error) {
	return connect.NewResponse(&fleetv1.PingResponse{Message: p.answer}), nil
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

// measureCall measures pings over loopback.
func measureCall() (callCost, error) {
	message := wire.MessageToProto(host.Message{From: identity(DesignSize(), 1), Revision: 380, Ready: true})
	path, handler := fleetv1connect.NewFleetServiceHandler(pinger{answer: message})
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
	if cost.warm, bytes, err = timeCalls(url, message, false); err != nil {
		return cost, err
	}
	cost.overhead = float64(bytes)/calls - 2*float64(messageSize(wire.MessageFromProto(message)))
	cost.cold, _, err = timeCalls(url, message, true)
	return cost, err
}

func timeCalls(url string, message *fleetv1.Message, cold bool) (perCall time.Duration, bytes int64, err error) {
	var count atomic.Int64
	var dialer net.Dialer
	transport := &http.Transport{
		DisableKeepAlives: cold,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return countingConn{Conn: conn, bytes: &count}, err
		},
	}
	defer transport.CloseIdleConnections()
	client := fleetv1connect.NewFleetServiceClient(&http.Client{Transport: transport}, url)
	began := processCPU()
	for range calls {
		if _, err := client.Ping(context.Background(), connect.NewRequest(&fleetv1.PingRequest{Message: message})); err != nil {
			return 0, 0, err
		}
	}
	return (processCPU() - began) / calls, count.Load(), nil
}

// processCPU returns the processor time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
