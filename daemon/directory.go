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
	// directoryKeep is the mean time that a caller may keep an answer. A
	// longer one asks less often; a shorter one leaves hosts that are away
	// sooner.
	directoryKeep = 10 * time.Second
	// maxDirectoryKeep is the longest; a leaving host serves that long.
	maxDirectoryKeep = directoryKeep * 5 / 4
)

// getDirectory answers which hosts a caller should use for a service. The
// parameter "zone" is the caller's zone. It reads the snapshot only, so that
// no number of callers holds the control thread up.
func (d *Daemon) getDirectory(ctx iris.Context) {
	snap := d.control.snapshot.Load()
	name := ctx.Params().Get("service")
	switch {
	case !snap.Ready:
		fail(ctx, http.StatusServiceUnavailable, errors.New("this host has no configuration yet"))
		return
	case snap.Services[name] == nil:
		fail(ctx, http.StatusNotFound, errors.New("no such service"))
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	hosts := snap.HostsFor(name, zone.ID(ctx.URLParam("zone")), rng)
	if len(hosts) == 0 {
		fail(ctx, http.StatusServiceUnavailable, errors.New("no host is well"))
		return
	}
	reply(ctx, directoryAnswer(name, hosts, d.home.Prefix(), keepTime(rng)))
}

// keepTime spreads the times over 75% to 125%, so that callers do not ask in
// step.
func keepTime(rng *rand.Rand) time.Duration {
	return directoryKeep*3/4 + time.Duration(rng.Int64N(int64(directoryKeep/2)))
}

func directoryAnswer(service string, hosts []host.Identity, idPrefix string, keep time.Duration) wire.Directory {
	answer := wire.Directory{Service: service, KeepMillis: keep.Milliseconds(), IDPrefix: idPrefix}
	for _, h := range hosts {
		answer.Hosts = append(answer.Hosts, wire.DirectoryHost{
			ID: string(h.ID), Zone: string(h.Zone), Address: h.Address, APIAddress: h.APIAddress,
		})
	}
	return answer
}
