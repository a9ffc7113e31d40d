package operator

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// The paths of the health checks.
const (
	// PathReady returns 200 while the node is ready for traffic.
	PathReady = "/healthz/ready"
	// PathLive returns 200 while the process works.
	PathLive = "/healthz/live"
)

// healthyBody is the response body of a health check that passes.
const healthyBody = `{"status":"ok"}` + "\n"

// healthRoutes returns the routes of the health checks.
func healthRoutes(health Health) []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: PathReady, Handler: healthCheck(KindNotReady, health.Ready)},
		{Method: http.MethodGet, Path: PathLive, Handler: healthCheck(KindNotLive, health.Live)},
	}
}

// healthCheck returns the handler of a health check. kind is the kind of the problem if it fails.
func healthCheck(kind dynamic.Kind, check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			writeProblem(w, &ridgeswitchv1.Problem{Kind: string(kind), Message: err.Error()})
			return
		}
		w.Header().Set(contentTypeHeader, contentTypeJSON)
		_, _ = w.Write([]byte(healthyBody))
	}
}

// notFound responds to a request for an unknown path.
func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, &ridgeswitchv1.Problem{
		Kind:    string(KindNoSuchCall),
		Message: "there is no call " + r.URL.Path + "; see the schema for the paths",
	})
}

// notAllowed responds to a request for a known path with a method that it does not support.
func notAllowed(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, &ridgeswitchv1.Problem{
		Kind:    string(KindMethodNotAllowed),
		Message: r.URL.Path + " has no method " + r.Method + "; see the schema for the methods",
	})
}
