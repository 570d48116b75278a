package gateway

import "net/http"

// metricsHandler serves the metrics as text.
func (g *Gateway) metricsHandler() http.Handler { return http.NotFoundHandler() }
