// Package store speaks the protocol between a node and a KV cache store. The
// store reports its cached chunks by the same events as a replica does. An EventClient
// keeps no state and may be used concurrently.
package store

import (
	"context"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

// EventClient follows the event streams of stores.
type EventClient struct {
	events *replica.EventClient
}

// NewEventClient returns a client that ends a stream without events for idleTimeout.
func NewEventClient(sender *outbound.Client, idleTimeout time.Duration) *EventClient {
	return &EventClient{events: replica.NewEventClient(sender, idleTimeout)}
}

// Follow reads the events after a position, or from a reset on if nothing was
// seen. It returns, always with an error, when the stream ends or when handle
// returns an error.
func (c *EventClient) Follow(ctx context.Context, address string, after replica.Position, handle func(replica.Event) error) error {
	return c.events.Follow(ctx, address, after, handle)
}
