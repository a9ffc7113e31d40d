// Package servingcheck refuses every request while the node may not serve: while it is
// fenced, or has no configuration.
package servingcheck

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// notServingRetry is when a caller may retry at a node that may not serve.
const notServingRetry = time.Second

// Handler checks that the node may serve.
type Handler struct {
	source routing.Source
}

// New returns the handler of a node.
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

// View returns the newest view, or why the node may not serve.
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

// unconfiguredError is the refusal of a node without a configuration.
func unconfiguredError() *caller.Error {
	return caller.NewError(caller.KindNotServing,
		"this node has no configuration yet: send the request to another node or try again").WithRetryAfter(notServingRetry)
}
