package daemon

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/wire"
	"github.com/crocushinge/crocushinge/zone"
)

const (
	// meanDirectoryTTL is the mean time for which callers may cache a directory
	// response. A longer time means fewer lookups; with a shorter one callers stop
	// using unavailable hosts sooner.
	meanDirectoryTTL = 10 * time.Second
	// maxDirectoryTTL is the longest time with jitter. A leaving host keeps serving
	// for at least that long.
	maxDirectoryTTL = meanDirectoryTTL * 5 / 4
)

// getDirectory responds with the hosts that a caller should use for a service. The
// query parameter "zone" is the caller's zone. It only reads the snapshot, so that
// lookups never delay the control thread, however many there are.
func (d *Daemon) getDirectory(ctx iris.Context) {
	snap := d.control.snapshot.Load()
	name := ctx.Params().Get("service")
	switch {
	case !snap.Ready:
		respondError(ctx, http.StatusServiceUnavailable, errors.New("this host has no configuration yet"))
		return
	case snap.Services[name] == nil:
		respondError(ctx, http.StatusNotFound, errors.New("no such service"))
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	hosts := snap.HostsFor(name, zone.ID(ctx.URLParam("zone")), rng)
	if len(hosts) == 0 {
		respondError(ctx, http.StatusServiceUnavailable, errors.New("no host is healthy"))
		return
	}
	respondJSON(ctx, directoryResponse(name, hosts, d.home.Prefix(), directoryTTL(rng)))
}

// directoryTTL returns a random time between 75% and 125% of the mean TTL. The
// jitter keeps callers from refreshing in sync.
func directoryTTL(rng *rand.Rand) time.Duration {
	return meanDirectoryTTL*3/4 + time.Duration(rng.Int64N(int64(meanDirectoryTTL/2)))
}

func directoryResponse(service string, hosts []host.Identity, idPrefix string, ttl time.Duration) wire.Directory {
	resp := wire.Directory{Service: service, CacheMillis: ttl.Milliseconds(), IDPrefix: idPrefix}
	for _, h := range hosts {
		resp.Hosts = append(resp.Hosts, wire.DirectoryHost{
			ID: string(h.ID), Zone: string(h.Zone), Address: h.Address, APIAddress: h.APIAddress,
		})
	}
	return resp
}
