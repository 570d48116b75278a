package main

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/wire"
)

// contractDocument returns the contract document of service n.
func contractDocument(size deploymentSize, n int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "service: service-%d\ntargets:\n", n)
	targets := partSize(size.Targets, size.Services, n)
	for t := range targets {
		fmt.Fprintf(&b, "  - {name: target-%d, address: \"10.%d.%d.%d:8080\", zone: %s, slots: 4, connections: 400}\n",
			t, n/200, n%200, t+1, size.zoneOf(n+t))
	}
	b.WriteString("routes:\n")
	for r := range partSize(size.Routes, size.Services, n) {
		fmt.Fprintf(&b, "  - {path: /service-%d/part-%d, methods: [GET], idempotent: true, deadline: 2s}\n", n, r)
	}
	fmt.Fprintf(&b, "floor: 60%%\nhealth: {path: /health, interval: 10s}\nload: %.0f\naccounts: [account-%d]\n",
		size.Requests/float64(size.Services), n)
	return []byte(b.String())
}

// partSize divides total into n nearly equal parts and returns the size of the
// part with the given number.
func partSize(total, n, part int) int {
	if part < total%n {
		return total/n + 1
	}
	return total / n
}

// encodedChanges returns the encoded latest change of every service.
func encodedChanges(size deploymentSize) [][]byte {
	var out [][]byte
	for n := range size.Services {
		data, err := wire.EncodeChange(contract.Change{
			Revision: uint64(n + 1), Subject: fmt.Sprintf("service-%d", n), Version: 1,
			Document: contractDocument(size, n), Proposal: fmt.Sprintf("proposal-%d", n), Operator: "bench", At: time.Unix(0, 0),
		})
		if err != nil {
			panic(err)
		}
		out = append(out, data)
	}
	return out
}

// startCost is the cost of loading the whole configuration when a host starts.
type startCost struct {
	bytes  int
	decode time.Duration
	apply  time.Duration
	heapMB float64
}

// measureStart measures the decoding of the whole configuration and its
// application to a new core.
func measureStart(size deploymentSize) (startCost, error) {
	encoded := encodedChanges(size)
	cost := startCost{}
	for _, data := range encoded {
		cost.bytes += len(data)
	}
	before := heapMB()
	list, elapsed, err := decodeAll(encoded)
	if err != nil {
		return cost, err
	}
	cost.decode = elapsed
	core := newCore(size, 1)
	start := time.Now()
	core.Handle(virtualStart, host.ConfigurationRead{Changes: list, Revision: uint64(size.Services), FromStore: true})
	cost.apply = time.Since(start)
	cost.heapMB = heapMB() - before
	runtime.KeepAlive(core)
	return cost, nil
}

func decodeAll(encoded [][]byte) ([]contract.Change, time.Duration, error) {
	start := time.Now()
	var list []contract.Change
	for _, data := range encoded {
		ch, err := wire.DecodeChange(data)
		if err != nil {
			return nil, 0, err
		}
		list = append(list, ch)
	}
	return list, time.Since(start), nil
}

// heapMB returns the live heap in MB.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}
