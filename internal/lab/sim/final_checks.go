package sim

import (
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// finish checks the invariants that need the complete run.
func (c *checks) finish() {
	for _, order := range c.world.operators.orders {
		c.orders = append(c.orders, lo.Map(order.submissions, func(sent *submission, _ int) checker.Order { return sent.record })...)
	}
	c.applyRules()
	c.checkHistory()
	c.checkNothingLost()
}

// applyRules applies the rules that the simulator shares with the experiments on
// real processes.
func (c *checks) applyRules() {
	records := &checker.Records{Orders: c.orders, Commands: c.commands, End: c.world.now}
	rules := []checker.Invariant{
		checker.OneOrderPerBase{},
		checker.ResentOrder{},
		checker.InvalidRefused{},
		checker.OneCommander{},
	}
	for _, rule := range rules {
		c.violations = append(c.violations, rule.Check(records)...)
	}
}

// checkNothingLost checks that at the end every node has what was acknowledged.
func (c *checks) checkNothingLost() {
	for _, one := range c.world.nodes {
		if one.view != nil && one.view.Revision < c.acknowledged {
			c.world.violate("acknowledged_lost", "%s ends with revision %d although %d was acknowledged", one.info.ID, one.view.Revision, c.acknowledged)
		}
	}
}
