package gateway

import (
	"encoding/json"
	"net/http"
)

// explainPath is the path of the explanations, on the server of the metrics.
const explainPath = "/explain"

// serveExplanation answers where a request with the host, path and account of the query would go
// now. An account is given by its name. Keys would end up in logs of URLs, so that any other
// parameter is refused.
func (g *Gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	for name := range query {
		if name != "host" && name != "path" && name != "account" {
			http.Error(w, "the parameters are host, path and account", http.StatusBadRequest)
			return
		}
	}
	if query.Get("host") == "" || query.Get("path") == "" {
		http.Error(w, "the parameters host and path are required", http.StatusBadRequest)
		return
	}
	explanation := g.handler.Explain(query.Get("host"), query.Get("path"), query.Get("account"), newRand())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(explanation) // fails only if the operator has gone
}
