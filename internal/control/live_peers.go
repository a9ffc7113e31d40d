package control

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// LivePeers returns the live nodes, this one included, sorted by ID.
func (m *Machine) LivePeers() []member.Info {
	var peers []member.Info
	for _, record := range m.members.Members() {
		if m.reachable(record.Info.ID) {
			peers = append(peers, record.Info)
		}
	}
	return peers
}

// PeersDigest changes whenever LivePeers may have changed. It follows the table of
// members as refreshMembers last saw it, so that a large table which changes with
// nearly every message does not have the peers listed anew each time.
func (m *Machine) PeersDigest() uint64 { return m.tableDigest }
