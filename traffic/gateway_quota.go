package traffic

import (
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/quota"
)

// charge takes a token of the quota of the request's account. However many targets the request is
// sent to, it holds this one token.
func (g *Gateway) charge(req *gatewayRequest) *refusal {
	decision, retryAfter := g.cfg.Quotas.Take(req.account, time.Now())
	switch decision {
	case quota.Exceeded:
		r := refuse(http.StatusTooManyRequests, "the account's quota is exceeded")
		r.retryAfter = retryAfter
		return r
	case quota.Unknown:
		return refuseFor(retryAfter, "this host does not know yet how many hosts share the account's quota")
	default:
		req.charged = true
		return nil
	}
}

// returnCharge gives back the token of a request that certainly was not run.
func (g *Gateway) returnCharge(req *gatewayRequest) {
	if req.charged {
		req.charged = false
		g.cfg.Quotas.Return(req.account, time.Now())
	}
}
