package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const (
	// observeEvery is the time between two observations of links and machines.
	observeEvery = 25 * time.Millisecond
	// inForceBound is how long after an acknowledgement a node in contact may
	// still serve an older revision.
	inForceBound = 2 * time.Second
)

// connectivity is an observer outside the deployment. It knows which nodes can be
// held to the bounds of a fail-open deployment: those that have been able to reach
// a connected majority of the core for long enough. The core is the nodes with
// disks. Faults report what they disturb; the rest is observed periodically.
type connectivity struct {
	env      *environment
	machines *machines
	network  *network
	backends *backendCalls
	groups   *shardGroups
	// outOfContactAt is when each node was last seen out of contact with the core.
	outOfContactAt map[*node]time.Duration
	// coreDisturbedAt is when a node with a disk was last disturbed, or when the
	// core last lacked a connected majority of some shard's voters.
	coreDisturbedAt time.Duration
	// disturbedAt is when any node or link was last disturbed.
	disturbedAt time.Duration
	// calm are the spans in which the core was stable and no link was disturbed.
	calm calmSpans
	// voters are the voters of each shard as its leader last knew them.
	voters map[uint32][]replication.Voter
	// acknowledged are the acknowledged revisions in the order of time.
	acknowledged []acknowledgement
}

// acknowledgement is an acknowledged revision and the instant at which an
// operator learned of it.
type acknowledgement struct {
	at       time.Duration
	revision uint64
}

func newConnectivity(env *environment, machines *machines, network *network, backends *backendCalls, groups *shardGroups) *connectivity {
	return &connectivity{
		env:            env,
		machines:       machines,
		network:        network,
		backends:       backends,
		groups:         groups,
		outOfContactAt: map[*node]time.Duration{},
		voters:         map[uint32][]replication.Voter{},
	}
}

// schedule observes a fail-open deployment over the whole run.
func (c *connectivity) schedule() {
	if !c.env.settings.FailOpen {
		return
	}
	c.env.at(0, func() {
		c.env.poll(observeEvery, func() bool {
			c.observe()
			return false
		})
	})
}

// recordDisturbance records that a node was started, stopped, frozen, woken or
// taken away.
func (c *connectivity) recordDisturbance(disturbed *node) {
	now := c.env.now
	c.outOfContactAt[disturbed] = now
	c.disturbedAt = now
	if disturbed.storage != nil {
		c.coreDisturbedAt = now
	}
}

// recordLinkChange records that a link was blocked or opened.
func (c *connectivity) recordLinkChange(from, to *node) {
	c.disturbedAt = c.env.now
	if from.storage != nil && to.storage != nil && from != to {
		c.coreDisturbedAt = c.env.now
	}
}

// recordAcknowledged records an acknowledged revision.
func (c *connectivity) recordAcknowledged(revision uint64) {
	c.acknowledged = append(c.acknowledged, acknowledgement{at: c.env.now, revision: revision})
}

// observe records which nodes are out of contact at this instant.
func (c *connectivity) observe() {
	nodes, now := c.machines.nodes, c.env.now
	core := c.connectedCore()
	storming := len(c.network.storms) > 0
	if len(core) == 0 || !c.hasVoterMajority(core) {
		c.coreDisturbedAt = now
		c.disturbedAt = now
	}
	linked := !storming && lo.EveryBy(nodes, func(observed *node) bool { return c.network.connected(observed, nodes) })
	if !linked {
		c.disturbedAt = now
	}
	c.calm.record(now, linked && c.backends.delays == 0 && now-c.coreDisturbedAt >= failOpenContact)
	for _, observed := range nodes {
		running := observed.up && !observed.frozen
		if !running || storming || !c.network.connected(observed, core) || observed.storage != nil && observed.storage.faulty() {
			c.outOfContactAt[observed] = now
		}
	}
}

// connectedCore returns the running core nodes that reach a majority of the core.
func (c *connectivity) connectedCore() []*node {
	disks := c.machines.withDisks()
	running := lo.Filter(disks, func(candidate *node, _ int) bool { return candidate.up && !candidate.frozen })
	return lo.Filter(running, func(candidate *node, _ int) bool {
		reached := lo.CountBy(running, func(other *node) bool { return c.network.connected(candidate, []*node{other}) })
		return 2*reached > len(disks)
	})
}

// hasVoterMajority reports whether, for every shard, a majority of its voters is
// among the given core nodes, still has the disk that it votes with, and can write
// to it. Otherwise more was lost at once than a deployment tolerates.
func (c *connectivity) hasVoterMajority(core []*node) bool {
	for shard := range c.groups.serviceShards + 1 {
		if slots, known := c.groups.memberSlots(shard); known {
			c.voters[shard] = votersOf(slots)
		}
		voters := c.voters[shard]
		healthy := lo.CountBy(voters, func(voter replication.Voter) bool {
			return lo.ContainsBy(core, func(candidate *node) bool {
				return candidate.info.ID == voter.ID && candidate.storage.incarnation == voter.Incarnation && !candidate.storage.full
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

// inContact reports whether a node must serve what was acknowledged: it and the
// core have been undisturbed for as long as a silent node counts as in contact.
func (c *connectivity) inContact(observed *node) bool {
	now := c.env.now
	return now-c.outOfContactAt[observed] >= failOpenContact && now-c.coreDisturbedAt >= failOpenContact
}

// undisturbed reports whether no node and no link has been disturbed for as long
// as a silent node counts as in contact.
func (c *connectivity) undisturbed() bool { return c.env.now-c.disturbedAt >= failOpenContact }

// requiredRevision returns the newest revision that every node in contact must
// serve by now.
func (c *connectivity) requiredRevision() uint64 {
	required := uint64(0)
	for _, known := range c.acknowledged {
		if known.at+inForceBound < c.env.now {
			required = max(required, known.revision)
		}
	}
	return required
}
