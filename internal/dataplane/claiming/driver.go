// Package claiming drives the claims of a node: it passes the time and the messages of
// other nodes to the state machine of pkg/claims, and makes requests wait for decisions.
//
// The package is tested but not yet used by nodes: the frames between nodes have no message
// for claims, and control state has no directory of homes (docs/design/duplicates.md lists
// what is missing). Until these exist, a node refuses only the duplicates that it has
// received itself. The package is kept together with pkg/claims because both are needed to
// connect claims to nodes.
//
// A Driver owns the state machine and the channels of the waiting requests. It may be used
// concurrently.
package claiming

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/handlers/claimer"
	"github.com/ridgeswitch/ridgeswitch/pkg/claims"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ticksPerResend is the number of ticks in the interval between two messages to a home that
// has not replied.
const ticksPerResend = 4

// Options configure a Driver.
type Options struct {
	// Config configures the state machine. Its Incarnation must never be used twice, not
	// even after the loss of a disk.
	Config claims.Config
	// Clock returns the time elapsed on a clock that counts suspended time.
	Clock func() time.Duration
	// Send sends a message to another node. It must not block. Messages may be lost.
	Send func(to member.ID, message claims.Message)
}

// Driver implements claimer.Claims. It may be used by many goroutines.
type Driver struct {
	options Options
	mutex   sync.Mutex
	machine *claims.Machine
	// waiting holds a channel for each undecided claim.
	waiting map[claims.Number]chan claims.Outcome
}

var _ claimer.Claims = (*Driver)(nil)

// New returns a driver. Its node acts as a home that starts now.
func New(options Options) *Driver {
	return &Driver{
		options: options,
		machine: claims.New(options.Config, options.Clock()),
		waiting: make(map[claims.Number]chan claims.Outcome),
	}
}

// SetDirectory replaces the sets of nodes that are homes. The comment of package claims
// defines when a set may be removed.
func (d *Driver) SetDirectory(sets []claims.Set) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.machine.SetDirectory(sets)
}

// Claim implements claimer.Claims.
func (d *Driver) Claim(ctx context.Context, tenant, requestID string) (exchange.Claim, error) {
	number, decided, err := d.begin(claims.KeyOf(tenant, requestID))
	if err != nil {
		return nil, claimer.ErrClaimUndecided
	}
	select {
	case outcome := <-decided:
		return d.result(number, outcome)
	case <-ctx.Done():
		d.end(number, false)
		return nil, claimer.ErrClaimUndecided
	}
}

// Receive handles a message of another node.
func (d *Driver) Receive(from member.ID, message claims.Message) {
	d.do(func(now time.Duration) []claims.Outbound { return d.machine.Step(now, from, message) })
}

// Tick passes the time to the state machine.
func (d *Driver) Tick() {
	d.do(d.machine.Tick)
}

// Serve implements suture.Service: it ticks until ctx ends.
func (d *Driver) Serve(ctx context.Context) error {
	every := d.options.Config.ResendInterval
	if every <= 0 {
		every = claims.DefaultResendInterval
	}
	ticker := time.NewTicker(every / ticksPerResend)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.Tick()
		}
	}
}

// begin claims a key. The decision is sent to the returned channel.
func (d *Driver) begin(key claims.Key) (number claims.Number, decided chan claims.Outcome, err error) {
	decided = make(chan claims.Outcome, 1)
	d.do(func(now time.Duration) []claims.Outbound {
		var out []claims.Outbound
		if number, out, err = d.machine.Claim(now, key); err == nil {
			d.waiting[number] = decided
		}
		return out
	})
	return number, decided, err
}

// result converts an outcome to the results of claimer.Claims.
func (d *Driver) result(number claims.Number, outcome claims.Outcome) (exchange.Claim, error) {
	switch outcome {
	case claims.Acquired:
		return &grantedClaim{driver: d, number: number}, nil
	case claims.AlreadyClaimed:
		return nil, claimer.ErrAlreadyClaimed
	default:
		return nil, claimer.ErrClaimUndecided
	}
}

// end ends a claim, decided or not.
func (d *Driver) end(number claims.Number, mayHaveRun bool) {
	d.do(func(now time.Duration) []claims.Outbound {
		delete(d.waiting, number)
		return d.machine.End(now, number, mayHaveRun)
	})
}

// do runs a step of the state machine, delivers decisions to the waiting requests, and sends
// the messages that the step returns.
func (d *Driver) do(step func(now time.Duration) []claims.Outbound) {
	d.mutex.Lock()
	out := step(d.options.Clock())
	for _, decision := range d.machine.Decisions() {
		if decided, found := d.waiting[decision.Number]; found {
			delete(d.waiting, decision.Number)
			decided <- decision.Outcome
		}
	}
	d.mutex.Unlock()
	for _, message := range out {
		d.options.Send(message.To, message.Message)
	}
}

// grantedClaim is a claim that this node has acquired.
type grantedClaim struct {
	driver *Driver
	number claims.Number
}

// Valid implements exchange.Claim.
func (c *grantedClaim) Valid() bool {
	c.driver.mutex.Lock()
	defer c.driver.mutex.Unlock()
	return c.driver.machine.MayRun(c.driver.options.Clock(), c.number)
}

// End implements exchange.Claim.
func (c *grantedClaim) End(mayHaveRun bool) {
	c.driver.end(c.number, mayHaveRun)
}
