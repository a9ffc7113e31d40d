package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const (
	// touchEvery is how often the state of links and machines is looked at.
	touchEvery = 25 * time.Millisecond
	// inForceBound is how long after an acknowledgement a node in touch may serve
	// by an older revision.
	inForceBound = 2 * time.Second
)

// touch is what an observer knows of who may be expected to do its duty: the nodes
// with disks of which a majority runs and is connected, and the nodes that reach
// them.
type touch struct {
	// unstableAt is when the nodes with disks were last disturbed or without a
	// connected majority, and disturbedAt when anything was.
	unstableAt  time.Duration
	disturbedAt time.Duration
	// voters are those that the leader of each shard knew last.
	voters map[uint32][]replication.Voter
	// acknowledged are the acknowledged revisions in the order of time.
	acknowledged []acknowledgement
}

type acknowledgement struct {
	at       time.Duration
	revision uint64
}

// scheduleTouch looks at the deployment again and again.
func (w *simulation) scheduleTouch() {
	if !w.settings.FailOpen {
		return
	}
	var look func()
	look = func() {
		w.lookAtTouch()
		w.after(touchEvery, look)
	}
	w.at(0, look)
}

// disturbed notes that something was done to a node.
func (w *simulation) disturbed(one *node) {
	one.brokenAt = w.now
	w.touch.disturbedAt = w.now
	if one.storage != nil {
		w.touch.unstableAt = w.now
	}
}

// linkChanged notes that a link was cut or joined.
func (w *simulation) linkChanged(from, to *node) {
	w.touch.disturbedAt = w.now
	if from.storage != nil && to.storage != nil && from != to {
		w.touch.unstableAt = w.now
	}
}

// lookAtTouch notes who is out of touch at this instant.
func (w *simulation) lookAtTouch() {
	core := w.connectedCore()
	if len(core) == 0 || !w.votersAmong(core) {
		w.touch.unstableAt = w.now
		w.touch.disturbedAt = w.now
	}
	if len(w.network.storms) > 0 || !lo.EveryBy(w.nodes, func(one *node) bool { return w.linked(one, w.nodes) }) {
		w.touch.disturbedAt = w.now
	}
	for _, one := range w.nodes {
		if !one.up || one.frozen || len(w.network.storms) > 0 || !w.linked(one, core) || one.hasBadDisk() {
			one.brokenAt = w.now
		}
	}
}

// votersAmong tells whether the majority of the voters of each shard, as its leader
// knew them last, is among some nodes, has kept its disks, and can write to them.
// Otherwise more was lost at once than a deployment bears.
func (w *simulation) votersAmong(core []*node) bool {
	if w.touch.voters == nil {
		w.touch.voters = map[uint32][]replication.Voter{}
	}
	for shard := range w.serviceShards + 1 {
		if places, known := w.places(shard); known {
			w.touch.voters[shard] = votersOf(places)
		}
		voters := w.touch.voters[shard]
		sound := lo.CountBy(voters, func(voter replication.Voter) bool {
			return lo.ContainsBy(core, func(one *node) bool {
				return one.info.ID == voter.ID && one.storage.incarnation == voter.Incarnation && !one.storage.full
			})
		})
		if len(voters) > 0 && 2*sound <= len(voters) {
			return false
		}
	}
	return true
}

func votersOf(places []replication.Slot) []replication.Voter {
	return lo.FilterMap(places, func(place replication.Slot, _ int) (replication.Voter, bool) {
		return place.Voter, !place.Learner
	})
}

func (n *node) hasBadDisk() bool {
	return n.storage != nil && (n.storage.slow > 0 || n.storage.full)
}

// connectedCore are the nodes with disks that run and reach a majority of all of
// them.
func (w *simulation) connectedCore() []*node {
	disks := w.diskNodes()
	running := lo.Filter(disks, func(one *node, _ int) bool { return one.up && !one.frozen })
	return lo.Filter(running, func(one *node, _ int) bool {
		reached := lo.CountBy(running, func(other *node) bool { return w.linked(one, []*node{other}) })
		return 2*reached > len(disks)
	})
}

// linked tells whether the ways between a node and others are open.
func (w *simulation) linked(one *node, others []*node) bool {
	return lo.EveryBy(others, func(other *node) bool {
		return w.network.blocked[one.index][other.index] == 0 && w.network.blocked[other.index][one.index] == 0
	})
}

// inTouch tells whether a node may be expected to serve by what was acknowledged.
func (w *simulation) inTouch(one *node) bool {
	return w.now-one.brokenAt >= openContact && w.now-w.touch.unstableAt >= openContact
}

// noteAcknowledged remembers an acknowledged revision.
func (w *simulation) noteAcknowledged(revision uint64) {
	w.touch.acknowledged = append(w.touch.acknowledged, acknowledgement{at: w.now, revision: revision})
}

// wantedRevision is the newest revision that a node in touch has to serve by now.
func (w *simulation) wantedRevision() uint64 {
	wanted := uint64(0)
	for _, one := range w.touch.acknowledged {
		if one.at+inForceBound < w.now {
			wanted = max(wanted, one.revision)
		}
	}
	return wanted
}

// admittedOpen holds that nodes in touch serve by what was acknowledged, and that
// no process goes back to an older revision.
func (c *checks) admittedOpen(n *node, revision uint64) {
	if wanted := c.world.wantedRevision(); revision < wanted && c.world.inTouch(n) {
		c.world.violate("in_force", "%s admitted under revision %d although %d was acknowledged %v ago, and it is in touch", n.info.ID, revision, wanted, inForceBound)
	}
	if last := c.servedInLife[n]; last.life == n.life && revision < last.revision {
		c.world.violate("served_never_back", "%s admitted under revision %d after %d", n.info.ID, revision, last.revision)
	}
	c.servedInLife[n] = servedRevision{life: n.life, revision: revision}
}

// servedRevision is what a process admitted under last.
type servedRevision struct {
	life     uint64
	revision uint64
}

// awaitAcknowledgement holds that an order gets its answer in time if nothing
// disturbs the nodes with disks, and no link, from long before until then.
func (w *simulation) awaitAcknowledgement(order *operatorOrder) {
	if !w.settings.FailOpen || w.now-w.touch.disturbedAt < openContact {
		return
	}
	w.after(openAcknowledge, func() {
		if !order.settled && w.touch.disturbedAt < order.firstSent {
			w.violate("acknowledged_in_time", "order %s has no answer after %v of calm", order.content.GetOrderId(), openAcknowledge)
		}
	})
}
