package operator

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
)

// PathMetrics is the path of the node's metrics.
const PathMetrics = "/metrics"

// Option adds routes to a control interface.
type Option func(server *rest.Server)

// WithMetrics serves the metrics of the node under PathMetrics.
func WithMetrics(metrics http.Handler) Option {
	return func(server *rest.Server) {
		server.AddRoute(rest.Route{Method: http.MethodGet, Path: PathMetrics, Handler: metrics.ServeHTTP})
	}
}
