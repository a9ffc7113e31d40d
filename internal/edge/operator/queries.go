package operator

import (
	"net/http"
	"strings"
)

// schemaPaths is how the paths of the calls of the schema begin.
const schemaPaths = "/v1/"

// WithQueries returns a handler of another operator protocol with the product's own
// queries beside it: the calls that change nothing, the health checks and the
// metrics. Changes go through the other protocol alone, since it keeps their source.
func WithQueries(changes, queries http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isQuery(request) {
			queries.ServeHTTP(writer, request)
			return
		}
		changes.ServeHTTP(writer, request)
	})
}

// isQuery reports whether a request is one of the product's own queries.
func isQuery(request *http.Request) bool {
	if request.Method != http.MethodGet {
		return false
	}
	switch path := request.URL.Path; path {
	case PathReady, PathLive, PathMetrics:
		return true
	default:
		return strings.HasPrefix(path, schemaPaths)
	}
}
