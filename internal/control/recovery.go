package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/recovery"
)

// newRecovery returns the machine that recovers the shards of this node.
func (m *Machine) newRecovery() *recovery.Machine {
	return recovery.New(recovery.Config{
		Self:          m.config.Self.ID,
		RetryEvery:    m.config.Times.RetryEvery,
		RegisterNodes: !m.config.FailOpen,
	}, m.members, transport{m}, m.numbers, m.received, m.relayedSections)
}

// tickRecoveries goes on with the shards that this node is to form anew.
func (m *Machine) tickRecoveries() {
	for _, id := range m.shardIDs {
		hosted := m.shards[id]
		if hosted == nil {
			continue
		}
		if m.received.Revision(ConfigurationShard) > 0 {
			hosted.Group().ExpectState()
		}
		changed, err := m.recovery.Tick(m.now, m.hostedOf(hosted))
		if err != nil {
			hosted.CountBadEntry()
		}
		if changed {
			hosted.Process()
		}
	}
}
