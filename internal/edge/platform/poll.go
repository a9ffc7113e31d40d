package platform

import (
	"context"
	"time"
)

// DefaultInterval is the default interval between two fetches of the list.
const DefaultInterval = 500 * time.Millisecond

// Poll fetches the list at once and then at every interval until the context ends, and passes
// each result to deliver. Each fetch is limited to the interval, so that a platform that does not
// respond cannot delay the next fetch.
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

// fetchOnce fetches the list within a time limit. It does not call deliver if ctx has ended.
func (c *Client) fetchOnce(ctx context.Context, limit time.Duration, deliver func(*Endpoints, error)) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	endpoints, err := c.Fetch(bounded)
	if ctx.Err() == nil {
		deliver(endpoints, err)
	}
}
