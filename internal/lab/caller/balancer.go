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
	// pollTimeout is the time after which a node that does not answer counts as not
	// ready.
	pollTimeout = 400 * time.Millisecond
)

// readinessPath is the path at a node's control address that reports whether the node is
// ready.
const readinessPath = "/healthz/ready"

// Target is a front node with its addresses.
type Target struct {
	Node string
	// TrafficAddress accepts requests; ControlAddress reports readiness.
	TrafficAddress string
	ControlAddress string
}

// Balancer simulates the platform's connection balancer: it returns the ready front nodes
// in round-robin order. It is safe for concurrent use.
type Balancer struct {
	targets []Target
	client  *http.Client

	// lock guards ready, which is keyed by node name, and next, the number of nodes that
	// Next has considered so far.
	lock  sync.Mutex
	ready map[string]bool
	next  int
}

// NewBalancer returns a balancer that considers no node ready until it has polled it.
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

// poll reports whether a node answers that it is ready.
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

// Next returns the next ready node in round-robin order, or false if none is ready.
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
