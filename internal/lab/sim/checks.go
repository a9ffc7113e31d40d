package sim

import (
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// checks watch a run. Most invariants are checked at the event that could break
// them; those that need the complete run are checked in finish. Each part owns what
// it needs to judge. The package page names the breakage that proves each rule.
type checks struct {
	env      *environment
	machines *machines
	*revisionChecks
	*orderChecks
	*commandChecks
	*requestChecks
	*evacuationChecks
}

func newChecks(w *simulation) *checks {
	revisions := newRevisionChecks(w.environment, w.connectivity)
	requests := newRequestChecks(w.environment, w.platform, w.connectivity)
	return &checks{
		env:            w.environment,
		machines:       w.machines,
		revisionChecks: revisions,
		orderChecks: &orderChecks{
			env: w.environment, connectivity: w.connectivity, operators: w.operators, revisions: revisions, requests: requests,
			documents: map[uint64]string{},
		},
		commandChecks: newCommandChecks(w.environment),
		requestChecks: requests,

		evacuationChecks: newEvacuationChecks(w.environment),
	}
}

// viewPublished checks a view that a node puts in force for traffic.
func (c *checks) viewPublished(n *node, view *routing.View) {
	c.revisionChecks.viewPublished(n, view)
	c.checkEvacuationsStand(n, view)
}

// finish checks the invariants that need the complete run.
func (c *checks) finish() {
	c.applyRules()
	c.checkHistory()
	c.checkNothingLost(c.machines.nodes)
}

// applyRules applies the rules that the simulator shares with the experiments on
// real processes. Their violations are recorded without a bound.
func (c *checks) applyRules() {
	records := &checker.Records{Orders: c.submissions(), Commands: c.commands, End: c.env.now}
	rules := []checker.Invariant{
		checker.OneOrderPerBase{},
		checker.ResentOrder{},
		checker.InvalidRefused{},
		checker.OneCommander{},
	}
	for _, rule := range rules {
		c.env.violations = append(c.env.violations, rule.Check(records)...)
	}
}
