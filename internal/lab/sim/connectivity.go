package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const (
	// observeEvery is how often the state of links and machines is looked at.
	observeEvery = 25 * time.Millisecond
	// inForceBound is how long after an acknowledgement a node in touch may serve
	// by an older revision.
	inForceBound = 2 * time.Second
)

// connectivity is what an observer knows of who may be expected to do its duty: the nodes
// with disks of which a majority runs and is connected, and the nodes that reach
// them.
type connectivity struct {
	// coreDisturbedAt is when the nodes with disks were last disturbed or without a
	// connected majority, and disturbedAt when anything was.
	coreDisturbedAt time.Duration
	disturbedAt     time.Duration
	// voters are those that the leader of each shard knew last.
	voters map[uint32][]replication.Voter
	// acknowledged are the acknowledged revisions in the order of time.
	acknowledged []acknowledgement
}

type acknowledgement struct {
	at       time.Duration
	revision uint64
}

// scheduleObservation looks at the deployment again and again.
func (w *simulation) scheduleObservation() {
	if !w.settings.FailOpen {
		return
	}
	var poll func()
	poll = func() {
		w.observeConnectivity()
		w.after(observeEvery, poll)
	}
	w.at(0, poll)
}

// recordDisturbance notes that something was done to a node.
func (w *simulation) recordDisturbance(one *node) {
	one.lastOutOfContact = w.now
	w.connectivity.disturbedAt = w.now
	if one.storage != nil {
		w.connectivity.coreDisturbedAt = w.now
	}
}

// recordLinkChange notes that a link was cut or joined.
func (w *simulation) recordLinkChange(from, to *node) {
	w.connectivity.disturbedAt = w.now
	if from.storage != nil && to.storage != nil && from != to {
		w.connectivity.coreDisturbedAt = w.now
	}
}

// observeConnectivity notes who is out of touch at this instant.
func (w *simulation) observeConnectivity() {
	core := w.connectedCore()
	if len(core) == 0 || !w.hasVoterMajority(core) {
		w.connectivity.coreDisturbedAt = w.now
		w.connectivity.disturbedAt = w.now
	}
	if len(w.network.storms) > 0 || !lo.EveryBy(w.nodes, func(one *node) bool { return w.connected(one, w.nodes) }) {
		w.connectivity.disturbedAt = w.now
	}
	for _, one := range w.nodes {
		if !one.up || one.frozen || len(w.network.storms) > 0 || !w.connected(one, core) || one.hasFaultyDisk() {
			one.lastOutOfContact = w.now
		}
	}
}

// hasVoterMajority tells whether the majority of the voters of each shard, as its leader
// knew them last, is among some nodes, has kept its disks, and can write to them.
// Otherwise more was lost at once than a deployment bears.
func (w *simulation) hasVoterMajority(core []*node) bool {
	if w.connectivity.voters == nil {
		w.connectivity.voters = map[uint32][]replication.Voter{}
	}
	for shard := range w.serviceShards + 1 {
		if slots, known := w.memberSlots(shard); known {
			w.connectivity.voters[shard] = votersOf(slots)
		}
		voters := w.connectivity.voters[shard]
		healthy := lo.CountBy(voters, func(voter replication.Voter) bool {
			return lo.ContainsBy(core, func(one *node) bool {
				return one.info.ID == voter.ID && one.storage.incarnation == voter.Incarnation && !one.storage.full
			})
		})
		if len(voters) > 0 && 2*healthy <= len(voters) {
			return false
		}
	}
	return true
}

func votersOf(slots []replication.Slot) []replication.Voter {
	return lo.FilterMap(slots, func(slot replication.Slot, _ int) (replication.Voter, bool) {
		return slot.Voter, !slot.Learner
	})
}

func (n *node) hasFaultyDisk() bool {
	return n.storage != nil && (n.storage.slow > 0 || n.storage.full)
}

// connectedCore are the nodes with disks that run and reach a majority of all of
// them.
func (w *simulation) connectedCore() []*node {
	disks := w.diskNodes()
	running := lo.Filter(disks, func(one *node, _ int) bool { return one.up && !one.frozen })
	return lo.Filter(running, func(one *node, _ int) bool {
		reached := lo.CountBy(running, func(other *node) bool { return w.connected(one, []*node{other}) })
		return 2*reached > len(disks)
	})
}

// connected tells whether the ways between a node and others are open.
func (w *simulation) connected(one *node, others []*node) bool {
	return lo.EveryBy(others, func(other *node) bool {
		return w.network.blocked[one.index][other.index] == 0 && w.network.blocked[other.index][one.index] == 0
	})
}

// inContact tells whether a node may be expected to serve by what was acknowledged.
func (w *simulation) inContact(one *node) bool {
	return w.now-one.lastOutOfContact >= failOpenContact && w.now-w.connectivity.coreDisturbedAt >= failOpenContact
}

// recordAcknowledged remembers an acknowledged revision.
func (w *simulation) recordAcknowledged(revision uint64) {
	w.connectivity.acknowledged = append(w.connectivity.acknowledged, acknowledgement{at: w.now, revision: revision})
}

// requiredRevision is the newest revision that a node in touch has to serve by now.
func (w *simulation) requiredRevision() uint64 {
	required := uint64(0)
	for _, one := range w.connectivity.acknowledged {
		if one.at+inForceBound < w.now {
			required = max(required, one.revision)
		}
	}
	return required
}

// admittedFailOpen holds that nodes in touch serve by what was acknowledged, and that
// no process goes back to an older revision.
func (c *checks) admittedFailOpen(n *node, revision uint64) {
	if required := c.world.requiredRevision(); revision < required && c.world.inContact(n) {
		c.world.violate("in_force", "%s admitted under revision %d although %d was acknowledged %v ago, and it is in touch", n.info.ID, revision, required, inForceBound)
	}
	if last := c.servedByProcess[n]; last.process == n.process && revision < last.revision {
		c.world.violate("served_never_back", "%s admitted under revision %d after %d", n.info.ID, revision, last.revision)
	}
	c.servedByProcess[n] = servedRevision{process: n.process, revision: revision}
}

// servedRevision is what a process admitted under last.
type servedRevision struct {
	process  uint64
	revision uint64
}

// awaitAcknowledgement holds that an order gets its answer in time if nothing
// disturbs the nodes with disks, and no link, from long before until then.
func (w *simulation) awaitAcknowledgement(order *operatorOrder) {
	if !w.settings.FailOpen || w.now-w.connectivity.disturbedAt < failOpenContact {
		return
	}
	w.after(failOpenAcknowledge, func() {
		if !order.finished && w.connectivity.disturbedAt < order.firstSent {
			w.violate("acknowledged_in_time", "order %s has no answer after %v of calm", order.content.GetOrderId(), failOpenAcknowledge)
		}
	})
}
