package driver

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/view"
)

// logInterval is the shortest time between two checks for changes to log.
const logInterval = 200 * time.Millisecond

// controlLog logs when this node begins or ceases to lead a shard, and when a roll-out of
// weights begins, ends or becomes overdue. It belongs to the control goroutine.
type controlLog struct {
	log *logrus.Entry
	// nextCheck is the earliest time of the next check for changes.
	nextCheck time.Duration
	// ledTerms contains the term of each shard that the node led at the last check.
	ledTerms map[uint32]uint64
	// rollouts contains the progress of each pool's roll-out at the last check.
	rollouts map[string]view.RolloutProgress
}

func newControlLog(log *logrus.Entry) *controlLog {
	return &controlLog{log: log, ledTerms: map[uint32]uint64{}, rollouts: map[string]view.RolloutProgress{}}
}

// logChanges logs the changes since the last check. It checks at most once per logInterval.
func (c *controlLog) logChanges(machine *control.Machine) {
	if machine.Now() < c.nextCheck {
		return
	}
	c.nextCheck = machine.Now() + logInterval
	c.logLeaderships(machine.LedTerms())
	for _, progress := range machine.Rollouts() {
		c.logRollout(machine, progress)
	}
	c.removeAbsentPools(machine.Rollouts())
}

// removeAbsentPools removes the recorded progress of pools without a roll-out.
func (c *controlLog) removeAbsentPools(rollouts []view.RolloutProgress) {
	if len(c.rollouts) == len(rollouts) {
		return
	}
	maps.DeleteFunc(c.rollouts, func(pool string, _ view.RolloutProgress) bool {
		return !slices.ContainsFunc(rollouts, func(progress view.RolloutProgress) bool { return progress.Pool == pool })
	})
}

func (c *controlLog) logLeaderships(led map[uint32]uint64) {
	for shard, term := range led {
		if c.ledTerms[shard] != term {
			c.log.WithField("shard", shard).WithField("term", term).Info("leads a shard")
		}
	}
	for shard, term := range c.ledTerms {
		if _, leads := led[shard]; !leads {
			c.log.WithField("shard", shard).WithField("term", term).Info("leads a shard no more")
		}
	}
	c.ledTerms = led
}

func (c *controlLog) logRollout(machine *control.Machine, progress view.RolloutProgress) {
	before, known := c.rollouts[progress.Pool]
	if known && before == progress {
		return
	}
	c.rollouts[progress.Pool] = progress
	log := c.log.WithFields(logrus.Fields{
		"pool":               progress.Pool,
		"weight_version":     progress.Version,
		"named_for_ms":       (machine.Now() - progress.NamedAt).Milliseconds(),
		"replicated_age_ms":  progress.ReplicatedAge.Milliseconds(),
		"replicas":           progress.Replicas,
		"outdated":           progress.Outdated,
		"outdated_admitting": progress.OutdatedAdmitting,
	})
	switch {
	case progress.OverdueVersion != before.OverdueVersion && progress.Overdue && progress.Outdated > 0:
		log.Warn("replicas do not run the named weights although the deadline has passed; check whether the replicas respond to commands")
	case !known || before.Version != progress.Version:
		log.Info("weights were named")
	case progress.Outdated == 0 && before.Outdated > 0:
		log.Info("all replicas run the named weights")
	}
}
