package fleet

import (
	"context"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/caller"
)

// endLoadWithScript wraps a script and a load so that the load ends when the script has ended.
func endLoadWithScript(script Script, load caller.Load) (Script, caller.Load) {
	ending := &endingScript{Script: script, ended: make(chan struct{})}
	return ending, &endingLoad{Load: load, ended: ending.ended}
}

// endingScript closes ended when its script has ended.
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
