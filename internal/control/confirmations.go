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

// localConfirmations tells others which revisions this node serves and has drained. It owns
// what the node has confirmed.
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

// tick sends a confirmation when what this node serves has changed, and now and then.
func (c *localConfirmations) tick(now time.Duration) {
	due := c.local.Due(now)
	if c.update() || due {
		c.send(now)
	}
}

// publish records that the view which is about to be published serves the received states,
// and confirms that.
func (c *localConfirmations) publish(now time.Duration) {
	for _, id := range c.shards.ids {
		c.local.Publish(id, c.received.Revision(id))
	}
	if c.update() {
		c.send(now)
	}
}

// update reads what traffic uses by now and reports whether it has changed.
func (c *localConfirmations) update() bool {
	return c.local.Update(c.members.incarnation(), c.drained)
}

// drained reports whether no request of this node runs on a replica that the newest state
// of a shard keeps requests from. Traffic counts a request before it reads the view for the
// last time, so that a zero read after the view was published stays true. (publish is
// called before the driver has stored the view; docs/ROADMAP.md lists that.)
func (c *localConfirmations) drained(shardID uint32) bool {
	for _, replica := range c.received.Service(shardID).GetReplicas() {
		serving := replica.GetPhase() == controlpb.ReplicaPhase_SERVING
		if !serving && c.load.InFlight(replica.GetAddress()) > 0 {
			return false
		}
	}
	return true
}

// send sends this node's revisions to all that need them.
func (c *localConfirmations) send(now time.Duration) {
	c.local.Sent(now)
	message := c.local.Message(c.members.incarnation())
	for _, id := range c.receivers() {
		if c.members.reachable(id) {
			c.outbox.Send(id, message)
		}
	}
}

// receivers are the nodes with disks; or the leaders of shards alone, where leaders ask
// every node when they begin.
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

// receiveRequest answers a leader, and records that it is one.
func (c *localConfirmations) receiveRequest(from member.ID, message protocol.Message) {
	if message.Term > 0 && message.Term >= c.recovery.ObservedTerm(message.Shard) {
		c.recovery.ObserveTerm(message.Shard, message.Term)
		c.leaders.Learn(message.Shard, from)
	}
	c.outbox.Send(from, c.local.Message(c.members.incarnation()))
}
