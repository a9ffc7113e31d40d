package sim

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

const (
	// evacuationCallTimeout is how long an operator without identities waits at one node.
	evacuationCallTimeout = time.Second
	// evacuationCallBackoff is the pause before the next node.
	evacuationCallBackoff = 100 * time.Millisecond
)

// evacuationCalls are those of an operator whose protocol has no identities of orders. A
// node reads the revision in force and redirects the operator to itself with it, and the
// operator follows if it still waits: see package platform. After a time-out the operator
// goes on to another node, which gets an order of its own.
type evacuationCalls struct {
	env       *environment
	machines  *machines
	operators *operators
	checks    *checks
}

// evacuationCall begins or ends the evacuation of a zone.
type evacuationCall struct {
	*evacuationCalls
	zone      string
	evacuated bool
	// attempt numbers the nodes that were called. Only the last one has an operator who
	// waits.
	attempt      int
	done         bool
	acknowledged func()
}

// call begins or ends the evacuation of a zone, at a given node first, and goes on once that
// is acknowledged.
func (c *evacuationCalls) call(first *node, zone string, evacuated bool, acknowledged func()) {
	c.checks.evacuationOrdered(zone)
	call := &evacuationCall{evacuationCalls: c, zone: zone, evacuated: evacuated, acknowledged: acknowledged}
	call.callAt(first)
}

// callAt calls a node, and the next one if no reply comes in time.
func (c *evacuationCall) callAt(target *node) {
	c.attempt++
	attempt := c.attempt
	c.env.after(evacuationCallTimeout, func() { c.goOn(attempt, target) })
	switch {
	case !target.up:
	case c.env.broken(BreakUnconditionalEvacuations):
		c.submit(attempt, target, nil)
	default:
		target.calls.read(target.machine.ReadConfiguration, func(reply control.Reply) {
			if reply.Err == nil && c.waiting(attempt) {
				revision := reply.Configuration.GetRevision()
				c.submit(attempt, target, &revision)
			}
		})
	}
}

// waiting reports whether the operator still waits for an attempt.
func (c *evacuationCall) waiting(attempt int) bool { return !c.done && c.attempt == attempt }

// goOn calls another node if the operator still waits for an attempt.
func (c *evacuationCall) goOn(attempt int, silent *node) {
	if !c.waiting(attempt) {
		return
	}
	others := lo.Without(c.machines.withDisks(), silent)
	if len(others) == 0 {
		others = c.machines.withDisks()
	}
	// The call to the silent node is over.
	c.attempt++
	pause := c.attempt
	c.env.after(evacuationCallBackoff, func() {
		if c.waiting(pause) {
			c.callAt(pick(c.env.randomness, others))
		}
	})
}

// submit sends the order to the node that the operator has called. Without a revision it
// holds unconditionally.
func (c *evacuationCall) submit(attempt int, target *node, revision *uint64) {
	order := c.order(revision)
	c.operators.issueOnce(target, order, func(outcome checker.Outcome) {
		switch {
		case !c.waiting(attempt):
		case outcome == checker.OutcomeAcknowledged:
			c.done = true
			c.checks.evacuationAcknowledged(c.zone, c.evacuated, order.reply.GetRevision())
			c.acknowledged()
		default:
			c.goOn(attempt, target)
		}
	})
}

// order returns an order under a new identity.
func (c *evacuationCall) order(revision *uint64) *operatorOrder {
	var content *controlpb.Order
	var err error
	id := c.operators.newOrderHeader(0).GetOrderId()
	if revision == nil {
		content, err = dynamic.EvacuationOrder(id, c.zone, c.evacuated, "")
	} else {
		content, err = dynamic.ConditionalEvacuationOrder(id, c.zone, c.evacuated, *revision)
	}
	change := checker.Change{Kind: checker.ChangeRestore, Zone: c.zone}
	if c.evacuated {
		change.Kind = checker.ChangeEvacuate
	}
	order := newOrder(content, err, change)
	order.mayBeNoOp = true
	return order
}

// newZone returns a zone that nobody else gives orders for.
func (c *evacuationCalls) newZone() string {
	c.operators.nameCount++
	return fmt.Sprintf("zone-of-calls-%d", c.operators.nameCount)
}
