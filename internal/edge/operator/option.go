package operator

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
)

// PathMetrics returns the metrics of the node.
const PathMetrics = "/metrics"

// Option adds to what a control interface serves.
type Option func(server *rest.Server)

// WithMetrics serves the metrics of the node under PathMetrics.
func WithMetrics(metrics http.Handler) Option {
	return func(server *rest.Server) {
		server.AddRoute(rest.Route{Method: http.MethodGet, Path: PathMetrics, Handler: metrics.ServeHTTP})
	}
}
