package sim

import (
	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// revisionChecks check which revisions nodes hold and admit under.
type revisionChecks struct {
	env          *environment
	connectivity *connectivity

	// acknowledged is the highest revision that an operator knows to be in force.
	acknowledged uint64
	// acknowledgedBeforeOutage is what was acknowledged when no process ran for the last
	// time. Since then, what nodes serve comes from disks.
	acknowledgedBeforeOutage uint64
	// shownRevision is the highest revision that a confirmed read has returned.
	shownRevision uint64
	// contents are the digests of the configurations by revision, and checksums
	// those of the relayed states.
	contents  map[uint64]uint64
	checksums map[relayedKey]uint64
	// served is the highest revision that each node has admitted under.
	served map[*node]uint64
	// servedByProcess is what each process last admitted under, in a fail-open
	// deployment.
	servedByProcess map[*node]servedRevision
	// revoked are the keys whose revocation was acknowledged, with its revision.
	revoked map[string]uint64
}

// relayedKey identifies one revision of one shard.
type relayedKey struct {
	topic    relaytree.Topic
	revision uint64
}

// servedRevision is what a process last admitted under.
type servedRevision struct {
	process  uint64
	revision uint64
}

func newRevisionChecks(env *environment, connectivity *connectivity) *revisionChecks {
	return &revisionChecks{
		env:             env,
		connectivity:    connectivity,
		contents:        map[uint64]uint64{},
		checksums:       map[relayedKey]uint64{},
		served:          map[*node]uint64{},
		servedByProcess: map[*node]servedRevision{},
		revoked:         map[string]uint64{},
	}
}

// viewPublished checks that a revision has the same content on all nodes at all
// times, and that no view admits to a zone that its own configuration evacuates.
func (c *revisionChecks) viewPublished(n *node, view *routing.View) {
	c.env.trace(string(n.info.ID), view.Revision)
	c.checkOneContent(n, view)
	for _, evacuation := range view.Configuration.GetEvacuations() {
		for _, pool := range view.Pools {
			for _, one := range pool.Replicas {
				if one.Admitting && one.Zone == evacuation.GetZone() {
					c.env.violate("evacuated_zone", "%s admits to %s in the evacuated zone %s", n.info.ID, one.Address, one.Zone)
				}
			}
		}
	}
}

func (c *revisionChecks) checkOneContent(n *node, view *routing.View) {
	if previous := n.views[view.Revision]; previous != nil && previous.Configuration == view.Configuration && previous != view {
		return
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(view.Configuration)
	if err != nil {
		panic(err)
	}
	content := xxhash.Sum64(encoded)
	known, found := c.contents[view.Revision]
	if found && known != content {
		c.env.violate("one_content", "%s holds another configuration as revision %d than was held before", n.info.ID, view.Revision)
	}
	c.contents[view.Revision] = content
}

// requestAdmitted checks that no node admits under a revision older than an
// acknowledged one, or older than one that it admitted under before, in this
// process or an earlier one.
func (c *revisionChecks) requestAdmitted(n *node, view *routing.View, key tenantKey) {
	if c.env.settings.FailOpen {
		c.admittedFailOpen(n, view.Revision)
		return
	}
	if view.Revision < c.acknowledged {
		c.env.violate("admitted_after_ack", "%s admitted under revision %d although %d was acknowledged", n.info.ID, view.Revision, c.acknowledged)
	}
	if revision, revoked := c.revoked[key.name]; revoked && view.Revision < revision {
		c.env.violate("revoked_key", "%s admitted key %s under revision %d, revoked with %d", n.info.ID, key.name, view.Revision, revision)
	}
	if view.Revision < c.served[n] {
		c.env.violate("served_never_back", "%s admitted under revision %d after %d", n.info.ID, view.Revision, c.served[n])
	}
	c.served[n] = max(c.served[n], view.Revision)
}

// admittedFailOpen checks an admission in a fail-open deployment: a node in contact
// serves what was acknowledged, no process returns to an older revision, and none serves an
// older one than was acknowledged before all processes ended, from its first request on.
func (c *revisionChecks) admittedFailOpen(n *node, revision uint64) {
	if revision < c.acknowledgedBeforeOutage {
		c.env.violate("older_after_outage", "%s admitted under revision %d although %d was acknowledged before all processes ended", n.info.ID, revision, c.acknowledgedBeforeOutage)
	}
	if required := c.connectivity.requiredRevision(); revision < required && c.connectivity.inContact(n) {
		c.env.violate("in_force", "%s admitted under revision %d although %d was acknowledged %v ago, and it is in touch", n.info.ID, revision, required, inForceBound)
	}
	if last := c.servedByProcess[n]; last.process == n.process && revision < last.revision {
		c.env.violate("served_never_back", "%s admitted under revision %d after %d", n.info.ID, revision, last.revision)
	}
	c.servedByProcess[n] = servedRevision{process: n.process, revision: revision}
}

// relayed checks that a revision of a shard has one content, whichever node sends
// it.
func (c *revisionChecks) relayed(message *relaytree.Message) {
	if message == nil || message.Type != relaytree.MessageUpdate {
		return
	}
	key := relayedKey{topic: message.Topic, revision: message.Revision}
	if known, found := c.checksums[key]; found && known != message.Checksum {
		c.env.violate("one_content", "revision %d of shard %d was relayed with two contents", message.Revision, message.Topic)
	}
	c.checksums[key] = message.Checksum
}

// recordAcknowledged records what operators know from an acknowledged order on.
func (c *revisionChecks) recordAcknowledged(record checker.Order) {
	c.acknowledged = max(c.acknowledged, record.Revision)
	c.connectivity.recordAcknowledged(record.Revision)
	if record.Change.Kind == checker.ChangeRevoke {
		c.revoked[record.Change.Key] = max(c.revoked[record.Change.Key], record.Revision)
	}
}

// processEnded records what was acknowledged when the last process ends.
func (c *revisionChecks) processEnded(nodes []*node) {
	if lo.NoneBy(nodes, func(one *node) bool { return one.up }) {
		c.acknowledgedBeforeOutage = c.acknowledged
	}
}

// checkNothingLost checks that at the end every node has what was acknowledged.
func (c *revisionChecks) checkNothingLost(nodes []*node) {
	for _, one := range nodes {
		if one.view != nil && one.view.Revision < c.acknowledged {
			c.env.violate("acknowledged_lost", "%s ends with revision %d although %d was acknowledged", one.info.ID, one.view.Revision, c.acknowledged)
		}
	}
}
