// Package store implements the native protocol between a node and a KV cache store. A store
// reports its cached chunks by the same events as a replica. An EventClient has no state but the
// connections of its sender and may be used concurrently.
package store

import (
	"context"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

// EventClient reads the event streams of stores.
type EventClient struct {
	events *replica.EventClient
}

// NewEventClient returns a client that ends a stream that has no event for idleTimeout.
func NewEventClient(sender *outbound.Client, idleTimeout time.Duration) *EventClient {
	return &EventClient{events: replica.NewEventClient(sender, idleTimeout)}
}

// Follow reads the events after a position, and passes each to handle in the caller's goroutine.
// For the zero Position the stream begins with a reset event. Follow returns, always with an
// error, when the stream ends, has no event for the idle time-out, or cannot be read, or when
// handle returns an error.
func (c *EventClient) Follow(ctx context.Context, address string, after replica.Position, handle func(replica.Event) error) error {
	return c.events.Follow(ctx, address, after, handle)
}
