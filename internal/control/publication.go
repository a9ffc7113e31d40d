package control

import (
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

// publishCommitted hands a shard's newest committed state to the relay tree when
// this node leads the shard.
func (m *Machine) publishCommitted(hosted *shard) {
	if !hosted.group.BarrierApplied() {
		// What is applied until then may be about to give way to the state of a
		// group that was formed anew.
		return
	}
	revision := hosted.state.Revision()
	topic := relaytree.Topic(hosted.id)
	if revision <= m.relay.Revision(topic) {
		return
	}
	sections, err := hosted.state.Sections()
	if err != nil {
		hosted.badEntries++
		return
	}
	m.relay.SetRoot(topic, m.config.Self.ID)
	sends, updates := m.relay.Publish(topic, revision, sections)
	m.sendRelay(sends)
	m.receiveUpdates(updates)
}

// publishRestored takes what the disk kept of a shard as a state to serve by, so
// that a node does so also while there is no quorum.
func (m *Machine) publishRestored(hosted *shard) {
	topic := relaytree.Topic(hosted.id)
	revision := hosted.state.Revision()
	if !m.config.FailOpen || hosted.restoredPublished || revision <= m.relay.Revision(topic) {
		return
	}
	hosted.restoredPublished = true
	sections, err := hosted.state.Sections()
	if err != nil {
		hosted.badEntries++
		return
	}
	sends, updates := m.relay.Publish(topic, revision, sections)
	m.sendRelay(sends)
	m.receiveUpdates(updates)
}
