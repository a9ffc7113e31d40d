// Package servingcheck refuses every request while the node may not serve, for example while
// it is fenced, or while it has no configuration.
package servingcheck

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// notServingRetry is the time after which a caller may retry on a node that may not serve.
const notServingRetry = time.Second

// Handler checks that the node may serve.
type Handler struct {
	source routing.Source
}

// New returns the handler that reads control state from source.
func New(source routing.Source) *Handler {
	return &Handler{source: source}
}

// Handle implements exchange.Handler.
func (h *Handler) Handle(e *exchange.Exchange, next func()) {
	view, callerError := View(h.source)
	if callerError == nil && !view.Configured() {
		callerError = unconfiguredError()
	}
	if callerError != nil {
		e.Refuse(callerError)
		return
	}
	e.View = view
	next()
}

// View returns the newest view, or an error that explains why the node may not serve.
func View(source routing.Source) (*routing.View, *caller.Error) {
	if err := source.Serving(); err != nil {
		return nil, caller.NewError(caller.KindNotServing,
			"this node serves no traffic now (%v): send the request to another node or try again", err).WithRetryAfter(notServingRetry)
	}
	view := source.View()
	if view == nil {
		return nil, unconfiguredError()
	}
	return view, nil
}

// unconfiguredError returns the error for a request to a node without a configuration.
func unconfiguredError() *caller.Error {
	return caller.NewError(caller.KindNotServing,
		"this node has no configuration yet: send the request to another node or try again").WithRetryAfter(notServingRetry)
}
