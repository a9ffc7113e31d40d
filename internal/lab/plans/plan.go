package plans

import (
	"context"
	"fmt"
	"strings"

	"github.com/samber/lo"
)

// Plan is a named course of faults.
type Plan struct {
	Name string
	// Summary says in one line what happens.
	Summary string
	// Links lets the plan block and delay what nodes send each other.
	Links bool
	// SubmitsOrders is set if the plan submits its own orders, beside which no
	// others are to change the configuration.
	SubmitsOrders bool
	// injectFaults brings the faults and returns when all have been repaired.
	injectFaults func(ctx context.Context, run *run) error
}

// All returns every plan, in the order of the documentation.
func All() []Plan {
	return []Plan{
		{Name: "rolling-restart", Summary: "every node in turn is stopped by SIGTERM and started again", injectFaults: rollingRestart},
		{Name: "core-loss", Summary: "all nodes with disks are killed at once, then a majority; they come back with their disks", injectFaults: loseCore},
		{Name: "disk-loss-twice", Summary: "two nodes with disks lose them one after the other, right after an acknowledged order", injectFaults: loseDiskTwice},
		{Name: "zone-cut", Summary: "a zone is cut off both ways, then each way alone", Links: true, injectFaults: partitionZone},
		{Name: "freeze-core-25s", Summary: "the leaders of the configuration and of the pool's shard are frozen for 25 s", injectFaults: freezeCore},
		{Name: "machine-swap", Summary: "a node with a disk gets an empty machine at another address, and the seeds move", injectFaults: swapMachine},
		{Name: "config-storm", Summary: "200 configurations with races, invalid ones and resends", SubmitsOrders: true, injectFaults: stormConfigurations},
		{Name: "kill-third", Summary: "a third of all nodes is killed at once, twice", injectFaults: killThird},
	}
}

// ByName returns a plan, or *UnknownPlanError.
func ByName(name string) (Plan, error) {
	plan, known := lo.Find(All(), func(plan Plan) bool { return plan.Name == name })
	if !known {
		return Plan{}, &UnknownPlanError{Name: name}
	}
	return plan, nil
}

// UnknownPlanError reports that there is no plan of a name.
type UnknownPlanError struct {
	Name string
}

// Error names the plans.
func (err *UnknownPlanError) Error() string {
	names := lo.Map(All(), func(plan Plan, _ int) string { return plan.Name })
	return fmt.Sprintf("there is no plan %q; use one of %s", err.Name, strings.Join(names, ", "))
}
