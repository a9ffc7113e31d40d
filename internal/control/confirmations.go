package control

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/confirmation"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/recovery"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// localConfirmations confirms to other nodes which revisions this node serves and has
// drained. It owns the record of these revisions.
type localConfirmations struct {
	config   Config
	members  *memberTable
	shards   *hostedShards
	leaders  *leaders.Directory
	outbox   *outbox
	recovery *recovery.Machine
	received *shardstate.Received
	// load counts the requests of this node's traffic on each replica.
	load  routing.LoadReader
	local *confirmation.Local
}

// tick sends a confirmation when the served or drained revisions have changed, and otherwise
// at regular intervals.
func (c *localConfirmations) tick(now time.Duration) {
	due := c.local.Due(now)
	if c.update() || due {
		c.send(now)
	}
}

// publish records that traffic is served with the received states, from which the view that
// is about to be published was built, and confirms their revisions to other nodes.
func (c *localConfirmations) publish(now time.Duration) {
	for _, id := range c.shards.ids {
		c.local.Publish(id, c.received.Revision(id))
	}
	if c.update() {
		c.send(now)
	}
}

// update recomputes the revisions that traffic uses and has drained, and reports whether
// they have changed.
func (c *localConfirmations) update() bool {
	return c.local.Update(c.members.incarnation(), c.drained)
}

// drained reports whether no request of this node runs on a replica that the newest state
// of a shard takes out of service. Traffic counts a request before it reads the view for
// the last time. If the count is zero after the view was published, no later request
// therefore runs on the replica. However, publish is called before the driver has stored the
// view; docs/ROADMAP.md lists this.
func (c *localConfirmations) drained(shardID uint32) bool {
	for _, replica := range c.received.Service(shardID).GetReplicas() {
		serving := replica.GetPhase() == controlpb.ReplicaPhase_SERVING
		if !serving && c.load.InFlight(replica.GetAddress()) > 0 {
			return false
		}
	}
	return true
}

// send sends this node's revisions to all nodes that need them.
func (c *localConfirmations) send(now time.Duration) {
	c.local.Sent(now)
	message := c.local.Message(c.members.incarnation())
	for _, id := range c.receivers() {
		if c.members.reachable(id) {
			c.outbox.Send(id, message)
		}
	}
}

// receivers returns the nodes with disks, which form the group of the configuration. If
// FailOpen is set, it returns only the leaders of shards, because each new leader then asks
// every node.
func (c *localConfirmations) receivers() []member.ID {
	if !c.config.FailOpen {
		return c.shards.Group(ConfigurationShard)
	}
	var receivers []member.ID
	for _, id := range c.shards.ids {
		if leader := c.leaders.Known(id); leader != "" && !slices.Contains(receivers, leader) {
			receivers = append(receivers, leader)
		}
	}
	return receivers
}

// receiveRequest answers a leader's request for this node's confirmation, and records that
// the sender leads the shard unless a later term was observed.
func (c *localConfirmations) receiveRequest(from member.ID, message protocol.Message) {
	if message.Term > 0 && message.Term >= c.recovery.ObservedTerm(message.Shard) {
		c.recovery.ObserveTerm(message.Shard, message.Term)
		c.leaders.Learn(message.Shard, from)
	}
	c.outbox.Send(from, c.local.Message(c.members.incarnation()))
}
