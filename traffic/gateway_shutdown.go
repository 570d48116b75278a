package traffic

import (
	"time"

	"github.com/crocushinge/crocushinge/host"
)

// work returns how long requests of a service take at its targets.
func (g *Gateway) work(service string) host.Work {
	routing := g.cfg.Snapshot().Services[service]
	if routing == nil {
		return host.Work{}
	}
	return host.Work{Typical: routing.TypicalLatency(), Deviation: routing.LatencyDeviation()}
}

// tooLateToSend reports whether a target's response to the request would come after this host's end.
func (g *Gateway) tooLateToSend(req *gatewayRequest) bool {
	return g.shutdown.tooLateToSend(req.service, req.deadline)
}

// refuseUnsent refuses a request for which no target was found.
func (g *Gateway) refuseUnsent(req *gatewayRequest) *refusal {
	if g.tooLateToSend(req) {
		return refuseShutdown()
	}
	return refuseFor(defaultRetryAfter, "no target of the service is known or accepts requests, or this host renews its view")
}

// ShutdownPlanned must be called after ShutdownPlan has begun to return a plan, or another one. The
// reading of bodies ends by it.
func (g *Gateway) ShutdownPlanned() { g.shutdown.planned() }

// EndRequests ends the requests that wait for a slot or for a target, without waiting for their
// responses to be delivered. A response that has begun goes on. It must be called at most once.
func (g *Gateway) EndRequests() {
	g.shutdown.end()
	g.waiting.queues.Range(func(_, value any) bool {
		value.(*serviceQueue).queue.GrantSlots(time.Now()) // refuses them, since it is too late to send them
		return true
	})
}
