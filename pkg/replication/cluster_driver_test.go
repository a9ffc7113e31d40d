package replication_test

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

func (n *node) write(ready replication.Ready) {
	if ready.Snapshot != nil {
		n.disk.Snapshot = ready.Snapshot
		n.disk.Entries = nil
	}
	if len(ready.Entries) > 0 {
		first, covered := ready.Entries[0].Index, uint64(0)
		if n.disk.Snapshot != nil {
			covered = n.disk.Snapshot.Index
		}
		if first <= covered || first > covered+uint64(len(n.disk.Entries))+1 {
			Fail(fmt.Sprintf("%s: entry %d leaves a gap on the disk or replaces an entry of the snapshot", n.id, first))
		}
		kept := slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e replication.Entry) bool { return e.Index >= first })
		n.disk.Entries = append(kept, ready.Entries...)
	}
	if ready.HardState != nil {
		n.disk.HardState = *ready.HardState
	}
}

// drain handles Readies as a driver does, until the node has no more work or a sync stalls.
func (c *cluster) drain(n *node) {
	for n.group != nil && n.pendingReady == nil && n.group.HasReady() {
		ready := n.group.Ready()
		if ready.MustSync() && (n.stalled || c.random.Float64() < c.faults.stall) {
			n.pendingReady = &ready
			return
		}
		c.finish(n, ready)
	}
	c.check()
}

func (c *cluster) finish(n *node, ready replication.Ready) {
	n.write(ready)
	for _, outbound := range ready.Messages {
		c.post(n, outbound)
	}
	if ready.Snapshot != nil {
		c.restore(n, ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		c.apply(n, entry)
	}
	for _, read := range ready.Reads {
		Expect(read.Index).To(BeNumerically(">=", n.reads[read.ID]), "%s: stale read", n.id)
		Expect(n.appliedIndex).To(BeNumerically(">=", read.Index))
		n.readsServed++
	}
	n.readsFailed += len(ready.ReadsFailed)
	n.group.Advance()
}

// release completes the sync of the pending Ready.
func (c *cluster) release(n *node) {
	if n.pendingReady == nil {
		return
	}
	ready := *n.pendingReady
	n.pendingReady = nil
	c.finish(n, ready)
	c.drain(n)
}

func (c *cluster) apply(n *node, entry replication.Entry) {
	Expect(entry.Index).To(Equal(n.appliedIndex+1), "%s: applied out of order", n.id)
	n.applied = digestAfter(n.applied, entry)
	n.appliedIndex = entry.Index
	if agreed, known := c.digests[entry.Index]; known {
		Expect(n.applied).To(Equal(agreed), "%s: applied different entries up to %d", n.id, entry.Index)
	}
	c.digests[entry.Index] = n.applied
	c.highestApplied = max(c.highestApplied, entry.Index)
}

func (c *cluster) restore(n *node, snapshot *replication.Snapshot) {
	n.applied = binary.BigEndian.Uint64(snapshot.Data)
	n.appliedIndex = snapshot.Index
	Expect(n.applied).To(Equal(c.digests[snapshot.Index]), "%s: the snapshot differs from the applied entries", n.id)
}

func (c *cluster) compact(n *node) error {
	if n.group == nil || n.pendingReady != nil {
		return nil
	}
	err := n.group.Compact(n.appliedIndex, binary.BigEndian.AppendUint64(nil, n.applied))
	if err == nil {
		n.disk = n.group.Checkpoint()
	}
	return err
}

// recoverQuorum recovers the group once a node has won a recovery term. State that no member
// knows any more was lost with the disks, and is no longer expected.
func (c *cluster) recoverQuorum(n *node) {
	term, won := n.group.RecoveryTerm()
	if !won || c.recoveryBlocked {
		return
	}
	if used := slices.Max(append(slices.Collect(maps.Keys(c.leaders)), 0)); used >= term {
		// All members that knew the term may have lost their disks. c.leaders represents the
		// witnesses, which are nodes outside of the group that still know it.
		n.group.RaiseRecoveryTerm(used)
		c.drain(n)
		return
	}
	state := n.applied
	for _, entry := range n.group.Unapplied() {
		state = digestAfter(state, entry)
	}
	c.highestApplied = 0
	for _, other := range c.nodes {
		c.highestApplied = max(c.highestApplied, other.appliedIndex)
	}
	maps.DeleteFunc(c.digests, func(index uint64, _ uint64) bool { return index > c.highestApplied })
	Expect(n.group.RecoverQuorum(c.clock(n), term, binary.BigEndian.AppendUint64(nil, state))).To(Succeed())
	c.recoveries++
	c.drain(n)
}

func digestAfter(digest uint64, entry replication.Entry) uint64 {
	if entry.Kind == replication.EntryRestore {
		return binary.BigEndian.Uint64(entry.Command)
	}
	digest = digest*1099511628211 + entry.Term*31 + uint64(entry.Kind)
	for _, b := range entry.Command {
		digest = digest*1099511628211 + uint64(b)
	}
	return digest
}

func (c *cluster) read(n *node) {
	id, err := n.group.RequestRead(c.clock(n))
	if err == nil {
		n.reads[id] = c.highestApplied
	}
	c.drain(n)
}
