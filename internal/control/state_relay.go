package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// stateRelay distributes the newest state of each shard to all nodes. It owns this node's
// part of the relay tree, and the received states, with which the node serves.
type stateRelay struct {
	config   Config
	shardIDs []uint32
	outbox   *outbox
	leaders  *leaders.Directory
	views    *viewRefresher

	tree     *relaytree.Machine
	received *shardstate.Received
}

func newStateRelay(config Config, outbox *outbox, directory *leaders.Directory, views *viewRefresher) *stateRelay {
	return &stateRelay{
		config:   config,
		shardIDs: config.shardIDs(),
		outbox:   outbox,
		leaders:  directory,
		views:    views,
		tree: relaytree.New(relaytree.Config{
			Self:        config.Self.ID,
			FanOut:      relayFanOut,
			DigestEvery: config.Times.DigestEvery,
		}),
		received: shardstate.NewReceived(),
	}
}

// tick advances the time of the relay tree.
func (r *stateRelay) tick(now time.Duration) { r.outbox.sendRelay(r.tree.Tick(now)) }

// receive handles another node's message of the relay tree.
func (r *stateRelay) receive(now time.Duration, from member.ID, message relaytree.Message) {
	sends, updates := r.tree.Step(now, from, message)
	r.outbox.sendRelay(sends)
	r.apply(updates)
}

// apply stores newer states of shards that were received through the relay tree. A state that
// can't be decoded is skipped; the next update is then decoded from the whole state.
func (r *stateRelay) apply(updates []relaytree.Update) {
	for _, update := range updates {
		if newer, err := r.received.Apply(update, r.sections); err == nil && newer {
			r.views.invalidate()
		}
	}
}

// sections returns all sections of a topic's newest state.
func (r *stateRelay) sections(topic relaytree.Topic) []relaytree.Section {
	_, sections := r.tree.Snapshot(topic)
	return sections
}

// sendDirectly sends the newest state of a shard to a node that it did not reach in time
// through the tree.
func (r *stateRelay) sendDirectly(to member.ID, shardID uint32) {
	r.outbox.sendRelay(r.tree.Feed(to, relaytree.Topic(shardID)))
}

// publishCommitted publishes a shard's newest committed state if this node leads the shard and
// has applied the barrier of its term. Before that, the state may still be replaced by that
// of a recovered group.
func (r *stateRelay) publishCommitted(shard *shards.Shard) {
	if !shard.Group().BarrierApplied() || !r.behind(shard) {
		return
	}
	if sections, ok := encodeSections(shard); ok {
		r.tree.SetRoot(relaytree.Topic(shard.ID()), r.config.Self.ID)
		r.publish(shard, sections)
	}
}

// behind reports whether the relay tree has an older state of a shard than this node's copy of
// the shard.
func (r *stateRelay) behind(shard *shards.Shard) bool {
	return shard.Revision() > r.tree.Revision(relaytree.Topic(shard.ID()))
}

// publish publishes the state of a shard in the relay tree.
func (r *stateRelay) publish(shard *shards.Shard, sections []relaytree.Section) {
	sends, updates := r.tree.Publish(relaytree.Topic(shard.ID()), shard.Revision(), sections)
	r.outbox.sendRelay(sends)
	r.apply(updates)
}

// encodeSections encodes the state of a shard. It returns false, and counts a bad entry, if
// the state can't be encoded.
func encodeSections(shard *shards.Shard) ([]relaytree.Section, bool) {
	sections, err := shard.State().Sections()
	if err != nil {
		shard.CountBadEntry()
		return nil, false
	}
	return sections, true
}

// setMembers builds the tree from the live members. If groups are fixed (Seeded is not set),
// the first reachable member of each group becomes the root for the states of its shard.
func (r *stateRelay) setMembers(members []relaytree.Member) {
	r.tree.SetMembers(members)
	if !r.config.Seeded {
		r.setRoots(r.leaders.First)
	}
}

// followLeaders makes the node that most likely leads each shard the root for the states of
// that shard, if Seeded is set.
func (r *stateRelay) followLeaders() {
	if r.config.Seeded {
		r.setRoots(r.leaders.Guess)
	}
}

// setRoots sets the root of each shard. A shard whose root is not known keeps its last one.
func (r *stateRelay) setRoots(rootOf func(shardID uint32) member.ID) {
	for _, id := range r.shardIDs {
		if root := rootOf(id); root != "" {
			r.tree.SetRoot(relaytree.Topic(id), root)
		}
	}
}
