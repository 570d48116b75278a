package traffic

import (
	"net/http"
	"strings"

	"github.com/crocushinge/crocushinge/fleet"
)

// authorizationHeader carries the caller's key. Targets do not receive it if the configuration has
// accounts.
const authorizationHeader = "Authorization"

// authenticate finds the account of a request. It returns a refusal if the route needs one and the
// request carries no key that is valid at present.
func (g *Gateway) authenticate(snap *fleet.Snapshot, req *gatewayRequest) *refusal {
	accounts := snap.Configuration.Accounts
	if accounts == nil {
		return nil
	}
	req.hasAccounts = true
	req.account = accounts.Authenticate(callerKey(req.inbound.Header, g.cfg.Headers.KeyScheme))
	if req.account != nil || !snap.Configuration.NeedsKey(req.route, req.path) {
		return nil
	}
	refused := refuseUnknown(snap, http.StatusUnauthorized, "no valid key in the header "+authorizationHeader)
	if refused.status == http.StatusUnauthorized {
		refused.challenge = g.cfg.Headers.KeyScheme
	}
	return refused
}

// refuseUnknown refuses a request whose route or key the configuration in force does not know. If a
// newer configuration exists, which may know them, the caller is told to try again.
func refuseUnknown(snap *fleet.Snapshot, status int, message string) *refusal {
	if snap.NewerConfiguration && snap.Configuration.Accounts != nil {
		return refuseFor(defaultRetryAfter, "this host does not have the newest configuration yet")
	}
	return refuse(status, message)
}

// callerKey returns the key in a request's header; empty if there is none or several. Schemes are
// compared without regard to case (RFC 9110, 11.1).
func callerKey(header http.Header, scheme string) string {
	values := header[authorizationHeader]
	if scheme == "" || len(values) != 1 {
		return ""
	}
	given, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(given, scheme) {
		return ""
	}
	return strings.TrimLeft(key, " ")
}

// setAccount tells the target which account a request belongs to, in place of what the caller
// sent. Without accounts, the target receives the caller's headers.
func (g *Gateway) setAccount(out *http.Request, req *gatewayRequest) {
	if !req.hasAccounts {
		return
	}
	for _, header := range []http.Header{out.Header, out.Trailer} {
		for name := range header {
			if sameHeader(name, authorizationHeader) || sameHeader(name, g.cfg.Headers.Account) {
				delete(header, name)
			}
		}
	}
	if req.account != nil {
		out.Header.Set(g.cfg.Headers.Account, req.account.Name)
	}
}

// sameHeader reports whether a target may take one header name for the other. Many servers do not
// tell "_" from "-" in the names of headers.
func sameHeader(a, b string) bool {
	return len(a) == len(b) && strings.EqualFold(strings.ReplaceAll(a, "_", "-"), b)
}

// priority returns the priority of the request: that of its account if it has one, and otherwise
// that of its route.
func (req *gatewayRequest) priority() int {
	if req.account != nil && req.account.HasPriority {
		return req.account.Priority
	}
	return req.route.Priority
}
