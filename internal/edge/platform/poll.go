package platform

import (
	"context"
	"time"
)

// DefaultInterval is the time between two fetches of the list.
const DefaultInterval = 500 * time.Millisecond

// Poll fetches the list at once and then every interval until the context
// ends, and hands each outcome to deliver. One fetch may take no longer than
// the interval, so that a platform which hangs does not delay the next.
func (c *Client) Poll(ctx context.Context, interval time.Duration, deliver func(*Endpoints, error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		c.fetchOnce(ctx, interval, deliver)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fetchOnce fetches the list within a time limit.
func (c *Client) fetchOnce(ctx context.Context, limit time.Duration, deliver func(*Endpoints, error)) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	endpoints, err := c.Fetch(bounded)
	if ctx.Err() == nil {
		deliver(endpoints, err)
	}
}
