package sim

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

const (
	// finishFirstLoad and finishFirstSpread bound the time to load weights of a
	// replica that finishes its requests first.
	finishFirstLoad   = 1100 * time.Millisecond
	finishFirstSpread = 800 * time.Millisecond
	// loadsWithoutSlowing may load at once before each further one slows all.
	loadsWithoutSlowing = 3
)

// instance returns the platform's name of the replica's incarnation.
func (r *replica) instance() string {
	if !r.env.settings.FinishFirst {
		return ""
	}
	return fmt.Sprintf("%s#%d", r.address, r.incarnation)
}

// handleCommandFinishFirst handles a command of a replica that checks no tokens,
// rejects a second command while one is in progress, and loads once its requests
// have ended.
func (r *replica) handleCommandFinishFirst(sender *node, command control.Command) control.CommandOutcome {
	if command.Instance != r.instance() {
		return control.CommandWrongInstance
	}
	r.checks.commandArrived(r, sender, command)
	switch {
	case command.ExpectsSequence && command.ExpectedSequence != r.sequence, r.target != "":
		return control.CommandBusy
	case r.version == command.WeightVersion:
		return control.CommandUpToDate
	}
	r.sequence++
	r.target = command.WeightVersion
	r.loadWhenIdle()
	return control.CommandAccepted
}

// loadWhenIdle begins to load once no request runs.
func (r *replica) loadWhenIdle() {
	if !r.env.settings.FinishFirst || r.active > 0 || r.target == "" || r.loading {
		return
	}
	r.loading = true
	incarnation := r.incarnation
	r.env.after(r.loadTime(), func() {
		if !r.up || r.incarnation != incarnation {
			return
		}
		r.version, r.target = r.target, ""
		r.lastVersion = r.version
		r.loading = false
		r.platform.showLater()
		r.env.logf(worldColumn, "%s runs %s", r.address, r.version)
	})
}

// loadTime is longer while many replicas load concurrently.
func (r *replica) loadTime() time.Duration {
	loading := lo.CountBy(r.platform.entries(), func(entry *endpoint) bool {
		return entry.replica.pool == r.pool && entry.replica.loading
	})
	load := finishFirstLoad + r.env.upTo(finishFirstSpread)
	return load * time.Duration(max(loading, loadsWithoutSlowing)) / loadsWithoutSlowing
}

// rejects reports whether the replica does not run a request: it loads weights,
// or has others than the request expects.
func (r *replica) rejects(arrived *request) bool {
	if !r.env.settings.FinishFirst || r.env.broken(BreakVersionIgnored) {
		return false
	}
	return r.target != "" || r.version != arrived.version
}
