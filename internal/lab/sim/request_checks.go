package sim

import (
	"strconv"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

const (
	// unorderedWeightsGrace is how long nodes may be unaware that a replica came
	// back with weights that no command named.
	unorderedWeightsGrace = 5 * time.Second
	// finishFirstBound is the time without faults within which no request begins
	// on weights older than those that were named, where replicas finish their
	// requests first.
	finishFirstBound = 12 * time.Second
)

// requestChecks check which replicas requests reach, and on which weights they run.
type requestChecks struct {
	env      *environment
	platform *platform
	// acknowledgedWeights are the weights of each pool that were acknowledged in
	// the recovery phase, where replicas finish their requests first.
	acknowledgedWeights map[string]acknowledgedWeights
}

// acknowledgedWeights is a weight version that was acknowledged in the recovery
// phase.
type acknowledgedWeights struct {
	version int
	at      time.Duration
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

// requestStarted checks that no request begins while weights are being loaded, or
// on weights older than those that were named in the recovery phase and
// acknowledged longer ago than the bound.
func (c *requestChecks) requestStarted(started *request) {
	if started.replica.loading {
		c.env.violate("weights_under_requests", "a request of %s began on %s, which loads weights %s",
			started.node.info.ID, started.replica.address, started.replica.target)
	}
	acknowledged, known := c.acknowledgedWeights[started.replica.pool]
	if !known || c.env.now <= acknowledged.at+finishFirstBound {
		return
	}
	running, err := strconv.Atoi(started.replica.version)
	if err == nil && running < acknowledged.version {
		c.env.violate("older_weights", "a request of %s began on weights %d of %s, %v after %d was acknowledged",
			started.node.info.ID, running, started.replica.address, c.env.now-acknowledged.at, acknowledged.version)
	}
}

// weightsAcknowledged records an acknowledgement in the recovery phase.
func (c *requestChecks) weightsAcknowledged(pool, version string, at time.Duration) {
	if number, err := strconv.Atoi(version); err == nil {
		c.acknowledgedWeights[pool] = acknowledgedWeights{version: number, at: at}
	}
}
