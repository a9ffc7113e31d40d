package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/control/view"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// receiveUpdates keeps newer states of shards that the relay tree brought. One that
// can't be decoded is skipped: the next update brings the whole state.
func (m *Machine) receiveUpdates(updates []relaytree.Update) {
	for _, update := range updates {
		if newer, err := m.received.Apply(update, m.relayedSections); err == nil && newer {
			m.viewStale = true
		}
	}
}

// relayedSections are the sections of a topic's newest state.
func (m *Machine) relayedSections(topic relaytree.Topic) []relaytree.Section {
	_, sections := m.relay.Snapshot(topic)
	return sections
}

// newViewBuilder returns the builder of a node's views.
func newViewBuilder(config Config) *view.Builder {
	return view.NewBuilder(view.Config{
		ServiceShards:       config.ServiceShards,
		ReplicasFinishFirst: config.ReplicasFinishFirst,
		WeightsDeadline:     config.Times.WeightsDeadline,
	})
}

// publishView puts a new view into the output if anything in it has changed. The
// driver publishes the view before it sends the confirmation that follows, so that
// nothing is confirmed to others before it is in force here.
func (m *Machine) publishView() {
	if !m.viewStale {
		return
	}
	m.viewStale = false
	m.output.View = m.views.Build(m.now, view.Inputs{
		Received:   m.received,
		Endpoints:  m.backends.services,
		Registered: m.registered,
	})
	for _, id := range m.shardIDs {
		m.served.Publish(id, m.received.Revision(id))
	}
	if m.updateServed() {
		m.sendConfirmation()
	}
}

// Committed implements shards.Host.
func (h shardHost) Committed(hosted *shards.Shard) { h.machine.publishCommitted(hosted) }

// publishCommitted spreads a shard's newest committed state when this node leads the shard.
// Before the barrier of its term is applied, the state may be about to give way to that
// of a group that was formed anew.
func (m *Machine) publishCommitted(hosted *shards.Shard) {
	if !hosted.Group().BarrierApplied() || !m.relayBehind(hosted) {
		return
	}
	if sections, ok := m.sectionsOf(hosted); ok {
		m.relay.SetRoot(relaytree.Topic(hosted.ID()), m.config.Self.ID)
		m.publishSections(hosted, sections)
	}
}

// publishRestored takes what the disk kept of a shard as a state to serve by, so
// that a node does so also while there is no quorum.
func (m *Machine) publishRestored(hosted *shards.Shard) {
	if !m.config.FailOpen || m.restoredPublished[hosted.ID()] || !m.relayBehind(hosted) {
		return
	}
	m.restoredPublished[hosted.ID()] = true
	if sections, ok := m.sectionsOf(hosted); ok {
		m.publishSections(hosted, sections)
	}
}

// relayBehind reports whether the relay tree holds an older state of a shard.
func (m *Machine) relayBehind(hosted *shards.Shard) bool {
	return hosted.Revision() > m.relay.Revision(relaytree.Topic(hosted.ID()))
}

// sectionsOf encodes the state of a shard; it counts what can't be encoded.
func (m *Machine) sectionsOf(hosted *shards.Shard) ([]relaytree.Section, bool) {
	sections, err := hosted.State().Sections()
	if err != nil {
		hosted.CountBadEntry()
		return nil, false
	}
	return sections, true
}

// publishSections hands the state of a shard to the relay tree.
func (m *Machine) publishSections(hosted *shards.Shard, sections []relaytree.Section) {
	sends, updates := m.relay.Publish(relaytree.Topic(hosted.ID()), hosted.Revision(), sections)
	m.sendRelay(sends)
	m.receiveUpdates(updates)
}
