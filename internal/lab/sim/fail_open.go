package sim

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Deployments whose core nodes find each other through three seeds, and
// whose nodes go on serving while they are partitioned from the core.

const (
	// failOpenContact is how long a node that fell silent counts as in contact.
	failOpenContact = 3 * time.Second
	// failOpenAcknowledge bounds the wait for an acknowledgement.
	failOpenAcknowledge = 4 * time.Second
	// slowHeartbeat and slowTick are the periods of nodes that save work while
	// they are idle.
	slowHeartbeat = 250 * time.Millisecond
	slowTick      = 50 * time.Millisecond
	// RecoveryBound is how long a deployment may take to serve again after all
	// its nodes went down at once.
	RecoveryBound = 12 * time.Second
	// promotionBound is how long a new machine may take to become a voter.
	promotionBound = 4 * time.Second
	// maxReplacements bounds the machines that a run adds.
	maxReplacements = 12
)

// enableFailOpen identifies the node by its address.
func (n *node) enableFailOpen() {
	n.info.ID = member.ID(n.info.Address)
	if n.world.settings.Seed%2 == 0 {
		n.tickEvery = slowTick
	}
}

// chooseFounders chooses the seeds, and founds the replica groups with the nodes
// there.
func (w *simulation) chooseFounders() {
	disks := w.diskNodes()
	for _, one := range disks[:min(maxSeeds, len(disks))] {
		w.seeds = append(w.seeds, one.info.Address)
	}
	founders := lo.Map(slices.Sorted(slices.Values(w.seeds)), func(seed string, _ int) member.ID { return member.ID(seed) })
	for _, one := range disks {
		if slices.Contains(w.seeds, one.info.Address) {
			one.storage.founders = founders
			continue
		}
		one.storage.incarnation = w.newDiskIncarnation() + uint64(one.index)
	}
}

// applyFailOpen completes the configuration of a control machine in a fail-open
// deployment.
func (n *node) applyFailOpen(config *control.Config) {
	config.Seeded = true
	config.FailOpen = true
	config.Group = nil
	config.GroupZones = nil
	config.Times = control.FailOpenTimes(failOpenContact, failOpenAcknowledge)
	if n.tickEvery == slowTick {
		config.Times.HeartbeatEvery = slowHeartbeat
	}
	if n.storage != nil {
		config.Group = n.storage.founders
		config.Seeds = lo.Uniq(slices.Concat(n.seeds, n.storage.addresses))
	}
}

// saveAddresses keeps in the data folder where other core nodes listen.
func (n *node) saveAddresses() {
	if n.storage == nil || !n.world.settings.FailOpen {
		return
	}
	if known := n.machine.CoreNodeAddresses(); len(known) > 0 {
		n.storage.addresses = known
	}
}

// configuredGroupFaults are the faults of deployments whose group is named, and
// seededGroupFaults those of deployments that find themselves through seeds.
var (
	configuredGroupFaults = []string{"majority-disk-loss"}
	seededGroupFaults     = []string{"machine-replaced", "machine-replaced-planned", "two-machines-replaced", "seeds-moved", "relay-parent-lost"}
)
