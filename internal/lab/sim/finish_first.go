package sim

import (
	"fmt"
	"strconv"
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
	// finishFirstBound is the time without faults within which no request begins
	// on weights older than those that were named.
	finishFirstBound = 12 * time.Second
	// commandGapBound is the least time between the commands of two nodes to one
	// replica.
	commandGapBound = 3 * time.Second
)

// weightsDeadline is a little less than the bound, since requests that were sent
// may wait at a replica.
func (w *simulation) weightsDeadline() time.Duration {
	if w.settings.FinishFirst {
		return finishFirstBound - 1500*time.Millisecond
	}
	return 0
}

// instance returns the platform's name of the replica's incarnation.
func (r *replica) instance() string {
	if !r.world.settings.FinishFirst {
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
	r.world.checks.commandArrived(r, sender, command)
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
	if !r.world.settings.FinishFirst || r.active > 0 || r.target == "" || r.loading {
		return
	}
	r.loading = true
	incarnation := r.incarnation
	r.world.after(r.loadTime(), func() {
		if !r.up || r.incarnation != incarnation {
			return
		}
		r.version, r.target = r.target, ""
		r.lastVersion = r.version
		r.loading = false
		r.world.platform.showLater()
		r.world.logf(worldColumn, "%s runs %s", r.address, r.version)
	})
}

// loadTime is longer while many replicas load concurrently.
func (r *replica) loadTime() time.Duration {
	loading := lo.CountBy(r.world.platform.entries(), func(entry *endpoint) bool {
		return entry.replica.pool == r.pool && entry.replica.loading
	})
	load := finishFirstLoad + r.world.upTo(finishFirstSpread)
	return load * time.Duration(max(loading, loadsWithoutSlowing)) / loadsWithoutSlowing
}

// rejects reports whether the replica does not run a request: it loads weights,
// or has others than the request expects.
func (r *replica) rejects(arrived *request) bool {
	if !r.world.settings.FinishFirst || r.world.broken(BreakVersionIgnored) {
		return false
	}
	return r.target != "" || r.version != arrived.version
}

// requestStarted checks that no request begins while weights are being loaded, or
// on weights older than those that were named in the recovery phase and
// acknowledged longer ago than the bound.
func (c *checks) requestStarted(started *request) {
	if started.replica.loading {
		c.world.violate("weights_under_requests", "a request of %s began on %s, which loads weights %s",
			started.node.info.ID, started.replica.address, started.replica.target)
	}
	acknowledged, known := c.acknowledgedWeights[started.replica.pool]
	if !known || c.world.now <= acknowledged.at+finishFirstBound {
		return
	}
	running, err := strconv.Atoi(started.replica.version)
	if err == nil && running < acknowledged.version {
		c.world.violate("older_weights", "a request of %s began on weights %d of %s, %v after %d was acknowledged",
			started.node.info.ID, running, started.replica.address, c.world.now-acknowledged.at, acknowledged.version)
	}
}

// acknowledgedWeights is a weight version that was acknowledged in the recovery
// phase.
type acknowledgedWeights struct {
	version int
	at      time.Duration
}

// weightsAcknowledged records an acknowledgement in the recovery phase.
func (c *checks) weightsAcknowledged(pool, version string, at time.Duration) {
	if number, err := strconv.Atoi(version); err == nil {
		c.acknowledgedWeights[pool] = acknowledgedWeights{version: number, at: at}
	}
}

// arrivedCommand is the newest command that reached a replica in its present
// incarnation.
type arrivedCommand struct {
	incarnation uint64
	sender      string
	token       uint64
	version     string
	at          time.Duration
}

// commandArrived checks that tokens never fall and belong to one sender each,
// that two senders keep commandGapBound apart, that the command names its sender,
// and that nothing is commanded twice in the recovery phase.
func (c *checks) commandArrived(target *replica, sender *node, command control.Command) {
	last := c.arrivedCommands[target]
	// The sender is the machine, whatever node the command names.
	current := arrivedCommand{target.incarnation, string(sender.info.ID), command.Token, command.WeightVersion, c.world.now}
	c.arrivedCommands[target] = current
	if command.Leader != string(sender.info.ID) {
		c.world.violate("command_holder", "%s commands %s as %s", sender.info.ID, target.address, command.Leader)
	}
	if last.incarnation != target.incarnation {
		return
	}
	switch {
	case command.Token < last.token:
		c.world.violate("tokens_never_fall", "%s got token %x of %s after %x of %s", target.address, command.Token, command.Leader, last.token, last.sender)
	case command.Token == last.token && current.sender != last.sender:
		c.world.violate("token_of_one_holder", "%s got token %x of %s and of %s", target.address, command.Token, last.sender, current.sender)
	case current.sender != last.sender && c.world.now-last.at < commandGapBound:
		c.world.violate("holders_keep_apart", "%s commands %s %v after %s did", current.sender, target.address, c.world.now-last.at, last.sender)
	case command.WeightVersion == last.version && c.world.now > c.world.settings.recoveryPhaseStart()+ServiceBackBound:
		c.world.violate("commanded_in_vain", "%s commands %s to load %s again", command.Leader, target.address, command.WeightVersion)
	}
}
