package operator

import (
	"net/http"
	"strings"
)

// schemaPaths is the prefix of the paths of all calls of the schema.
const schemaPaths = "/v1/"

// WithQueries returns a handler that serves another operator protocol, and in addition the native
// queries: GET requests for calls of the schema, the health checks and the metrics. Changes can be
// made only through the other protocol, because it stores their source.
func WithQueries(changes, queries http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isQuery(request) {
			queries.ServeHTTP(writer, request)
			return
		}
		changes.ServeHTTP(writer, request)
	})
}

// isQuery reports whether a request is one of the native queries.
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
