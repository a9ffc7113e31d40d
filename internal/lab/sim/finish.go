package sim

import (
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// finish applies the checks that need the whole run.
func (c *checks) finish() {
	for _, order := range c.world.operators.orders {
		c.orders = append(c.orders, lo.Map(order.submissions, func(sent *submission, _ int) checker.Order { return sent.record })...)
	}
	c.applyRules()
	c.checkHistory()
	c.nothingLost()
}

// applyRules applies the rules that the simulator shares with the experiments on
// real processes.
func (c *checks) applyRules() {
	records := &checker.Records{Orders: c.orders, Commands: c.commands, End: c.world.now}
	rules := []checker.Invariant{
		checker.OneOrderPerBase{},
		checker.ResentOrder{},
		checker.InvalidRefused{},
		checker.CommandHolder{},
	}
	for _, rule := range rules {
		c.violations = append(c.violations, rule.Check(records)...)
	}
}

// nothingLost holds that at the end every node has what was acknowledged.
func (c *checks) nothingLost() {
	for _, one := range c.world.nodes {
		if one.view != nil && one.view.Revision < c.acknowledged {
			c.world.violate("acknowledged_lost", "%s ends with revision %d although %d was acknowledged", one.info.ID, one.view.Revision, c.acknowledged)
		}
	}
}

// revisionRegister is the sequential model of the orders: a compare-and-set
// register that holds the revision.
var revisionRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		return input.(*operatorOrder).next(state.(uint64), output.(time.Duration))
	},
}

// next returns the revisions that may be in force after an order.
func (o *operatorOrder) next(revision uint64, _ time.Duration) []any {
	base := o.content.GetBaseRevision()
	fits := base == revision || (base == 0 && o.content.GetApply() == nil)
	switch {
	case !o.settled && fits:
		return []any{revision, revision + 1}
	case !o.settled:
		return []any{revision}
	case o.outcome == checker.OutcomeRefused && o.answer.GetRevision() == revision:
		return []any{revision}
	case o.outcome == checker.OutcomeRefused || !fits:
		return nil
	case o.answer.GetRevision() == revision+1 || (o.mayKeep && o.answer.GetRevision() == revision):
		return []any{o.answer.GetRevision()}
	}
	return nil
}

// historyTimeout bounds the search for an order of the history. What takes
// longer gives no verdict, and is counted.
const historyTimeout = 5 * time.Second

// checkHistory holds that the orders are linearizable.
func (c *checks) checkHistory() {
	history := lo.Map(c.world.operators.orders, func(order *operatorOrder, client int) porcupine.Operation {
		operation := porcupine.Operation{
			ClientId: client,
			Input:    order,
			Call:     int64(order.firstSent),
			Output:   order.settledAt,
			Return:   int64(order.settledAt),
		}
		if !order.settled {
			// It may take effect at any time from now on.
			operation.Return = int64(2 * c.world.now)
		}
		return operation
	})
	switch porcupine.CheckOperationsTimeout(revisionRegister.ToModel(), history, historyTimeout) {
	case porcupine.Illegal:
		c.world.violate("linearizable", "the answers to the %d orders fit no sequence of changes", len(history))
	case porcupine.Unknown:
		c.world.counts.Undecided++
	case porcupine.Ok:
	}
}
