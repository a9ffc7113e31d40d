package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const (
	// forgetAfter is how long the table of members keeps the record of a member that is
	// fenced or has left.
	forgetAfter = 10 * time.Minute
	// monitorCount is the number of monitors that a node chooses.
	monitorCount = 3
	// maxSmallTableSize is the number of members up to which changes of the table are looked
	// for after each message, and not only at ticks.
	maxSmallTableSize = 64
)

// memberTable is the table of members, with the data that this node derives from it. It is
// the single owner of which nodes are alive, in which zone, and at which address.
type memberTable struct {
	*membership.Machine
	self member.ID
	// digest is the digest of the table at the last refresh, and refreshedAt the time of
	// that refresh.
	digest      uint64
	refreshedAt time.Duration
	// liveDigest is the digest of the members' addresses and of which of them are live.
	liveDigest uint64
	addresses  map[member.ID]string
	zones      map[member.ID]string
	// coreNodes are the live nodes with disks, sorted.
	coreNodes []member.ID
}

func newMemberTable(config Config, now time.Duration) *memberTable {
	return &memberTable{
		Machine: membership.New(membership.Config{
			Self:           config.Self,
			Seeds:          config.Seeds,
			MonitorCount:   monitorCount,
			HeartbeatEvery: config.Times.HeartbeatEvery,
			FenceAfter:     config.Times.FenceAfter,
			FenceMargin:    config.Times.FenceMargin,
			ForgetAfter:    forgetAfter,
		}, now),
		self:      config.Self.ID,
		addresses: map[member.ID]string{},
		zones:     map[member.ID]string{},
	}
}

// refreshDue reports whether to look for changes of the table after a message. For a large
// table it is true once per tick at the most: while many nodes start, nearly every message
// changes the table.
func (t *memberTable) refreshDue(now time.Duration) bool {
	return t.Size() <= maxSmallTableSize || now-t.refreshedAt >= DefaultTickEvery
}

// refresh reports whether the table has changed since the last call, and whether the
// addresses of members or the set of live members have. It updates the derived data.
func (t *memberTable) refresh(now time.Duration) (tableChanged, liveChanged bool) {
	t.refreshedAt = now
	if t.Digest() == t.digest {
		return false, false
	}
	t.digest = t.Digest()
	records := t.Records()
	digest := liveDigestOf(records)
	if digest == t.liveDigest {
		return true, false
	}
	t.liveDigest = digest
	t.coreNodes = nil
	for _, record := range records {
		t.addresses[record.Info.ID] = record.Info.Address
		t.zones[record.Info.ID] = record.Info.Zone
		if record.Info.HoldsState && isLive(record) {
			t.coreNodes = append(t.coreNodes, record.Info.ID)
		}
	}
	return true, true
}

// incarnation returns the present incarnation of this node.
func (t *memberTable) incarnation() member.Incarnation {
	incarnation, _ := t.Incarnation(t.self)
	return incarnation
}

// reachable reports whether a node is this one or is alive in the table.
func (t *memberTable) reachable(id member.ID) bool { return id == t.self || t.Alive(id) }

// endpointReaders returns the members that may read the platform's endpoint list.
func (t *memberTable) endpointReaders() []listing.Member {
	var readers []listing.Member
	for _, record := range t.Records() {
		if isLive(record) {
			readers = append(readers, listing.Member{
				ID:      record.Info.ID,
				Zone:    record.Info.Zone,
				HasDisk: record.Info.HoldsState,
				Suspect: record.State == membership.StateSuspect && record.Info.ID != t.self,
			})
		}
	}
	return readers
}

// relayMembers returns the members from which the relay tree is built.
func (t *memberTable) relayMembers() []relaytree.Member {
	members := []relaytree.Member{}
	for _, record := range t.Records() {
		if isLive(record) {
			members = append(members, relaytree.Member{ID: record.Info.ID, Zone: record.Info.Zone})
		}
	}
	return members
}

// replicationPeers returns the nodes with disks that a replica group may add, and those that
// have left and that it must remove.
func (t *memberTable) replicationPeers() []replication.Peer {
	var peers []replication.Peer
	for _, record := range t.Records() {
		left := record.State == membership.StateLeft
		if record.Info.HoldsState && (left || isLive(record)) {
			peers = append(peers, replication.Peer{ID: record.Info.ID, Left: left})
		}
	}
	return peers
}

// coreNodeAddresses returns the internal addresses of the other live nodes with disks, sorted
// by node ID.
func (t *memberTable) coreNodeAddresses() []string {
	var addresses []string
	for _, id := range t.coreNodes {
		if id != t.self {
			addresses = append(addresses, t.addresses[id])
		}
	}
	return addresses
}

// livePeers returns the live nodes, including this one, sorted by ID.
func (t *memberTable) livePeers() []member.Info {
	var peers []member.Info
	for _, record := range t.Members() {
		if t.reachable(record.Info.ID) {
			peers = append(peers, record.Info)
		}
	}
	return peers
}

// isLive reports whether a member may be serving according to the table: it is alive or only
// suspected.
func isLive(record membership.Record) bool {
	return record.State == membership.StateAlive || record.State == membership.StateSuspect
}

// liveDigestOf returns a digest of the members' addresses and of which of them are live or
// have left.
func liveDigestOf(records []membership.Record) uint64 {
	digest := xxhash.New()
	for _, record := range records {
		live := "down"
		switch {
		case isLive(record):
			live = "live"
		case record.State == membership.StateLeft:
			live = "left"
		}
		for _, text := range []string{string(record.Info.ID), record.Info.Address, live} {
			_, _ = digest.WriteString(text)
			_, _ = digest.WriteString("\n")
		}
	}
	return digest.Sum64()
}
