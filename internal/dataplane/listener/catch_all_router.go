package listener

import (
	"net/http"

	"github.com/pkg/errors"
)

// catchAllRouter is the router of go-zero's server. It passes the requests of all hosts,
// methods and paths to the embedded handler, which does the routing.
type catchAllRouter struct {
	http.Handler
}

// Handle implements httpx.Router. It always returns an error, because no routes are added to
// go-zero's server.
func (catchAllRouter) Handle(method, path string, _ http.Handler) error {
	return errors.Errorf("cannot add route %s %s: the routes of the configuration serve every path", method, path)
}

// SetNotFoundHandler implements httpx.Router. It does nothing, because every path is served.
func (catchAllRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. It does nothing, because every method is
// allowed.
func (catchAllRouter) SetNotAllowedHandler(http.Handler) {}
