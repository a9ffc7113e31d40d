package sim

import (
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

const (
	// unorderedWeightsGrace is how long nodes may be unaware that a replica came
	// back with weights that no command named.
	unorderedWeightsGrace = 5 * time.Second
	// finishFirstBound is the time of calm after which no request begins on weights older
	// than those that were acknowledged, where replicas finish their requests first.
	finishFirstBound = 12 * time.Second
	// finishFirstTotalBound is the same for several spans of calm together.
	finishFirstTotalBound = 17 * time.Second
)

// requestChecks check which replicas requests reach, and on which weights they run.
type requestChecks struct {
	env          *environment
	platform     *platform
	connectivity *connectivity
	// acknowledgedWeights are the weights of each pool that were acknowledged, where
	// replicas finish their requests first.
	acknowledgedWeights map[string][]acknowledgedWeights
}

// acknowledgedWeights is a weight version that was acknowledged.
type acknowledgedWeights struct {
	version int
	at      time.Duration
	// revision is that of the configuration which named the version.
	revision uint64
}

func newRequestChecks(env *environment, platform *platform, connectivity *connectivity) *requestChecks {
	return &requestChecks{
		env: env, platform: platform, connectivity: connectivity, acknowledgedWeights: map[string][]acknowledgedWeights{},
	}
}

// requestSent checks that a draining replica gets no request after the bound.
func (c *requestChecks) requestSent(sent *request) {
	if c.env.settings.FailOpen {
		// A node that is cut off goes on by the list that it knows.
		return
	}
	since, draining := c.platform.drainingSince[sent.replica.address]
	if draining && c.env.now > max(since, c.platform.backAt)+checker.DrainingBound && c.platform.down == 0 {
		c.env.violate("draining_replica", "%s sent a request to %s, draining since %v", sent.node.info.ID, sent.replica.address, since)
	}
}

// requestArrived checks that a request runs on the weights that it was admitted
// for.
func (c *requestChecks) requestArrived(arrived *request) {
	if c.env.settings.FailOpen {
		// A node that is cut off goes on by the weights that it knows.
		return
	}
	target := arrived.replica
	if target.version == arrived.version {
		return
	}
	unaware := target.unorderedWeights && (!c.env.inRecoveryPhase() || c.env.now < target.unorderedWeightsAt+unorderedWeightsGrace)
	if unaware {
		return
	}
	c.env.violate("weights_of_request", "a request of %s for weights %s reached %s on %q (loading %q)",
		arrived.node.info.ID, arrived.version, target.address, target.version, target.target)
}

// weightsLoadStarted checks that no request runs while a replica changes its
// weights.
func (c *requestChecks) weightsLoadStarted(target *replica, command control.Command) {
	if target.active > 0 && !target.unorderedWeights && !c.env.settings.FailOpen {
		c.env.violate("weights_under_requests", "%s began to load %s with %d requests running", target.address, command.WeightVersion, target.active)
	}
}

// requestStarted checks that no request begins while weights are being loaded, or on
// weights older than others that were acknowledged, once their bound has passed.
func (c *requestChecks) requestStarted(started *request) {
	if started.replica.loading {
		c.env.violate("weights_under_requests", "a request of %s began on %s, which loads weights %s",
			started.node.info.ID, started.replica.address, started.replica.target)
	}
	running, err := strconv.Atoi(started.replica.version)
	if err != nil {
		return
	}
	for _, acknowledged := range c.acknowledgedWeights[started.replica.pool] {
		if running < acknowledged.version && c.boundPassed(started.node, acknowledged.at) {
			c.env.violate("older_weights", "a request of %s began on weights %d of %s, %v after %d was acknowledged",
				started.node.info.ID, running, started.replica.address, c.env.now-acknowledged.at, acknowledged.version)
			return
		}
	}
}

// boundPassed reports whether a node may send no request to weights that are older than
// those acknowledged at an instant. Once service must be back in the recovery phase, which
// has no faults, nothing excuses it. Before that, it is asked where nodes fail open, of nodes
// in contact and after enough calm.
func (c *requestChecks) boundPassed(sender *node, acknowledgedAt time.Duration) bool {
	if acknowledgedAt >= c.env.settings.recoveryPhaseStart()+ServiceBackBound && c.env.now > acknowledgedAt+finishFirstBound {
		return true
	}
	if !c.env.settings.FailOpen {
		return false
	}
	calm := c.connectivity.calm
	passed := calm.current(acknowledgedAt) > finishFirstBound || calm.total(acknowledgedAt) > finishFirstTotalBound
	return passed && c.connectivity.inContact(sender)
}

// weightsAcknowledged records an acknowledgement that an operator learned of now. Where
// versions may fall, the newest revision takes back what was named before it.
func (c *requestChecks) weightsAcknowledged(change checker.Change, revision uint64) {
	version, err := strconv.Atoi(change.WeightVersion)
	if err != nil {
		return
	}
	known := c.acknowledgedWeights[change.Pool]
	if !c.env.settings.FailOpen {
		if last, found := lo.Last(known); found && last.revision > revision {
			return
		}
		known = nil
	}
	c.acknowledgedWeights[change.Pool] = append(known, acknowledgedWeights{version: version, at: c.env.now, revision: revision})
}
