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
		m.confirmations.published[id] = m.received.Revision(id)
	}
	if m.updateLocalConfirmation() {
		m.sendConfirmation()
	}
}
