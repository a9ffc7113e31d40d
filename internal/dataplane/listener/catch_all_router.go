package listener

import (
	"net/http"

	"github.com/pkg/errors"
)

// catchAllRouter is the router of go-zero's server: every host, method and
// path reaches the chain, which routes by host.
type catchAllRouter struct {
	http.Handler
}

// Handle implements httpx.Router. No route is ever added.
func (catchAllRouter) Handle(method, path string, _ http.Handler) error {
	return errors.Errorf("%s %s cannot be added: every path is served by the routes of the configuration", method, path)
}

// SetNotFoundHandler implements httpx.Router. Every request is found.
func (catchAllRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. Every method is allowed.
func (catchAllRouter) SetNotAllowedHandler(http.Handler) {}
