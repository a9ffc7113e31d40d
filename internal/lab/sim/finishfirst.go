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
	// finishFirstBound is the calm time within which no request begins on older
	// weights than those that were named.
	finishFirstBound = 12 * time.Second
	// commandGapBound is how far apart the commands of two nodes to one replica are
	// at least.
	commandGapBound = 3 * time.Second
)

// weightsDeadline is a little less than the bound, as requests that were sent may
// wait at a replica.
func (w *simulation) weightsDeadline() time.Duration {
	if w.settings.FinishFirst {
		return finishFirstBound - 1500*time.Millisecond
	}
	return 0
}

// instance names the replica's incarnation.
func (r *replica) instance() string {
	if !r.world.settings.FinishFirst {
		return ""
	}
	return fmt.Sprintf("%s#%d", r.address, r.incarnation)
}

// takeFinishFirst handles a command of a replica that checks no tokens, refuses a
// second command while one is under way, and loads once its requests have ended.
func (r *replica) takeFinishFirst(holder *node, command control.Command) control.CommandOutcome {
	if command.Instance != r.instance() {
		return control.CommandWrongInstance
	}
	r.world.checks.commandArrived(r, holder, command)
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
	if !r.world.settings.FinishFirst || r.active > 0 || r.target == "" || r.loadingNow {
		return
	}
	r.loadingNow = true
	incarnation := r.incarnation
	r.world.after(r.loadTime(), func() {
		if !r.up || r.incarnation != incarnation {
			return
		}
		r.version, r.target = r.target, ""
		r.lastVersion = r.version
		r.loadingNow = false
		r.world.platform.showLater()
		r.world.note(worldColumn, "%s runs %s", r.address, r.version)
	})
}

// loadTime is longer while many load at once.
func (r *replica) loadTime() time.Duration {
	loading := lo.CountBy(r.world.platform.entries(), func(entry *listedReplica) bool {
		return entry.replica.pool == r.pool && entry.replica.loadingNow
	})
	load := finishFirstLoad + r.world.upTo(finishFirstSpread)
	return load * time.Duration(max(loading, loadsWithoutSlowing)) / loadsWithoutSlowing
}

// refuses tells whether the replica does not run a request: it loads weights, or has
// others than the request expects.
func (r *replica) refuses(arrived *request) bool {
	if !r.world.settings.FinishFirst || r.world.broken(BreakVersionIgnored) {
		return false
	}
	return r.target != "" || r.version != arrived.version
}

// begun holds that no request begins while weights are being loaded, or on older
// weights than were named in the calm and acknowledged longer ago than the bound.
func (c *checks) begun(begun *request) {
	if begun.replica.loadingNow {
		c.world.violate("weights_under_requests", "a request of %s began on %s, which loads weights %s",
			begun.node.info.ID, begun.replica.address, begun.replica.target)
	}
	named, known := c.named[begun.replica.pool]
	if !known || c.world.now <= named.at+finishFirstBound {
		return
	}
	running, err := strconv.Atoi(begun.replica.version)
	if err == nil && running < named.version {
		c.world.violate("older_weights", "a request of %s began on weights %d of %s, %v after %d was acknowledged",
			begun.node.info.ID, running, begun.replica.address, c.world.now-named.at, named.version)
	}
}

// namedWeights is a version that was acknowledged in the calm.
type namedWeights struct {
	version int
	at      time.Duration
}

// weightsNamed notes an acknowledgement in the calm.
func (c *checks) weightsNamed(pool, version string, at time.Duration) {
	if number, err := strconv.Atoi(version); err == nil {
		c.named[pool] = namedWeights{version: number, at: at}
	}
}

// arrivedCommand is the newest command that reached a replica in its present life.
type arrivedCommand struct {
	incarnation uint64
	holder      string
	token       uint64
	version     string
	at          time.Duration
}

// commandArrived holds that tokens never fall and belong to one holder each, that two
// holders keep apart, that the holder is the sender, and that nothing is commanded
// twice in the calm.
func (c *checks) commandArrived(target *replica, holder *node, command control.Command) {
	last := c.arrivedCommands[target]
	// A holder is one machine, whatever name its commands bear.
	present := arrivedCommand{target.incarnation, string(holder.info.ID), command.Token, command.WeightVersion, c.world.now}
	c.arrivedCommands[target] = present
	if command.Leader != string(holder.info.ID) {
		c.world.violate("command_holder", "%s commands %s as %s", holder.info.ID, target.address, command.Leader)
	}
	if last.incarnation != target.incarnation {
		return
	}
	switch {
	case command.Token < last.token:
		c.world.violate("tokens_never_fall", "%s got token %x of %s after %x of %s", target.address, command.Token, command.Leader, last.token, last.holder)
	case command.Token == last.token && present.holder != last.holder:
		c.world.violate("token_of_one_holder", "%s got token %x of %s and of %s", target.address, command.Token, last.holder, present.holder)
	case present.holder != last.holder && c.world.now-last.at < commandGapBound:
		c.world.violate("holders_keep_apart", "%s commands %s %v after %s did", present.holder, target.address, c.world.now-last.at, last.holder)
	case command.WeightVersion == last.version && c.world.now > c.world.settings.calmFrom()+ServiceBackBound:
		c.world.violate("commanded_in_vain", "%s commands %s to load %s again", command.Leader, target.address, command.WeightVersion)
	}
}
