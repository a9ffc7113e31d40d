package dataplane

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// notServingRetry is when a caller may retry at a node that may not serve.
const notServingRetry = time.Second

// servingCheck refuses every request while the node may not serve.
type servingCheck struct {
	source routing.Source
}

// handle implements handler.
func (c *servingCheck) handle(e *exchange, next func()) {
	view, callerError := servingView(c.source)
	if callerError == nil && !view.Configured() {
		callerError = unconfiguredError()
	}
	if callerError != nil {
		e.refuse(callerError)
		return
	}
	e.view = view
	next()
}

// servingView returns the newest view, or why the node may not serve.
func servingView(source routing.Source) (*routing.View, *caller.Error) {
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
