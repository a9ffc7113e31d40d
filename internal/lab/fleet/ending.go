package fleet

import (
	"context"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/caller"
)

// endLoadWithScript returns the script, and the load, which ends with the script.
func endLoadWithScript(script Script, load caller.Load) (Script, caller.Load) {
	ending := &endingScript{Script: script, ended: make(chan struct{})}
	return ending, &endingLoad{Load: load, ended: ending.ended}
}

// endingScript tells when its script has ended.
type endingScript struct {
	Script
	ended chan struct{}
}

// Run implements Script.
func (script *endingScript) Run(ctx context.Context) {
	defer close(script.ended)
	script.Script.Run(ctx)
}

// endingLoad is a load that ends at the latest when a script has ended.
type endingLoad struct {
	caller.Load
	ended <-chan struct{}
}

// Next implements caller.Load.
func (load *endingLoad) Next() (caller.Job, bool) {
	select {
	case <-load.ended:
		return caller.Job{}, false
	default:
		return load.Load.Next()
	}
}
