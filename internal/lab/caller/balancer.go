package caller

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Intervals of the balancer.
const (
	// pollEvery is how often the balancer polls the readiness of a node.
	pollEvery = 200 * time.Millisecond
	// pollTimeout is when a node that does not answer counts as not ready.
	pollTimeout = 400 * time.Millisecond
)

// readinessPath is where a node's control address reports whether it is ready.
const readinessPath = "/healthz/ready"

// Target is a front node as the balancer knows it.
type Target struct {
	Node string
	// TrafficAddress takes requests; ControlAddress tells of readiness.
	TrafficAddress string
	ControlAddress string
}

// Balancer stands for the platform's connection balancer: it hands out ready
// front nodes in turn. It is safe for concurrent use.
type Balancer struct {
	targets []Target
	client  *http.Client

	// lock guards ready, by node, and next, which counts the nodes considered.
	lock  sync.Mutex
	ready map[string]bool
	next  int
}

// NewBalancer returns a balancer to which no node is ready yet.
func NewBalancer(targets []Target) *Balancer {
	return &Balancer{
		targets: targets, ready: make(map[string]bool),
		client: &http.Client{Timeout: pollTimeout},
	}
}

// Run polls every node until the context ends.
func (balancer *Balancer) Run(ctx context.Context) {
	var polls sync.WaitGroup
	for _, target := range balancer.targets {
		polls.Go(func() { balancer.follow(ctx, target) })
	}
	polls.Wait()
	balancer.client.CloseIdleConnections()
}

// Poll checks the readiness of every node once.
func (balancer *Balancer) Poll(ctx context.Context) {
	var polls sync.WaitGroup
	for _, target := range balancer.targets {
		polls.Go(func() { balancer.set(target.Node, balancer.poll(ctx, target)) })
	}
	polls.Wait()
}

// follow polls a node until the context ends.
func (balancer *Balancer) follow(ctx context.Context, target Target) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		balancer.set(target.Node, balancer.poll(ctx, target))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reports whether a node says that it is ready.
func (balancer *Balancer) poll(ctx context.Context, target Target) bool {
	url := "http://" + target.ControlAddress + readinessPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := balancer.client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (balancer *Balancer) set(node string, ready bool) {
	balancer.lock.Lock()
	defer balancer.lock.Unlock()
	balancer.ready[node] = ready
}

// Next returns the next ready node in turn, or false when none is ready.
func (balancer *Balancer) Next() (Target, bool) {
	balancer.lock.Lock()
	defer balancer.lock.Unlock()
	for range balancer.targets {
		target := balancer.targets[balancer.next%len(balancer.targets)]
		balancer.next++
		if balancer.ready[target.Node] {
			return target, true
		}
	}
	return Target{}, false
}
