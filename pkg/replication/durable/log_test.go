package durable

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

const (
	logName = "shard-3"
	// smallLimit is a MinLogBytes at which Save writes checkpoints during the script.
	smallLimit = 400
)

// operation is a Save of a Ready, or a Checkpoint with the content of the Ready.
type operation struct {
	ready      replication.Ready
	checkpoint bool
}

func hardState(term uint64, votedFor member.ID, commit uint64) *replication.HardState {
	return &replication.HardState{Term: term, VotedFor: votedFor, Commit: commit}
}

// entries returns the entries first..last of one term.
func entries(term, first, last uint64) []replication.Entry {
	var made []replication.Entry
	for index := first; index <= last; index++ {
		command := fmt.Appendf(nil, "command %d of term %d", index, term)
		made = append(made, replication.Entry{Index: index, Term: term, Kind: replication.EntryCommand, Command: command})
	}
	return made
}

func snapshot(term, index uint64) *replication.Snapshot {
	return &replication.Snapshot{
		Index: index,
		Term:  term,
		Slots: []replication.Slot{
			{Voter: replication.Voter{ID: "a", Incarnation: 1}},
			{Voter: replication.Voter{ID: "b", Incarnation: 1700000000000}},
			{Voter: replication.Voter{ID: "c", Incarnation: 2}, Learner: true},
		},
		Data: fmt.Appendf(nil, "state at %d", index),
	}
}

// script contains votes, entries, conflicting suffixes, a snapshot from the
// leader, a compaction, and enough bytes for checkpoints in between.
var script = []operation{
	{ready: replication.Ready{HardState: hardState(1, "a", 0)}},
	{ready: replication.Ready{HardState: hardState(1, "a", 0), Entries: entries(1, 1, 3)}},
	{ready: replication.Ready{Entries: entries(1, 4, 6)}},
	{ready: replication.Ready{HardState: hardState(2, "b", 2), Entries: entries(2, 3, 4)}},
	{ready: replication.Ready{Entries: entries(2, 5, 5)}},
	{ready: replication.Ready{HardState: hardState(4, "c", 20), Snapshot: snapshot(3, 20)}},
	{ready: replication.Ready{Entries: entries(4, 21, 22)}},
	{ready: replication.Ready{Entries: entries(4, 23, 24)}},
	{checkpoint: true, ready: replication.Ready{HardState: hardState(4, "c", 23), Snapshot: snapshot(4, 22), Entries: entries(4, 23, 24)}},
	{ready: replication.Ready{HardState: hardState(5, "", 24), Entries: entries(5, 24, 27)}},
	{ready: replication.Ready{HardState: hardState(6, "a", 24)}},
}

func (o operation) run(log *Log) error {
	if o.checkpoint {
		return log.Checkpoint(*o.ready.HardState, o.ready.Snapshot, o.ready.Entries)
	}
	return log.Save(o.ready)
}

// after returns the state that is expected after the operation, computed entry by entry.
func (o operation) after(state replication.DurableState) replication.DurableState {
	state.Entries = slices.Clone(state.Entries)
	if o.ready.HardState != nil {
		state.HardState = *o.ready.HardState
	}
	if o.ready.Snapshot != nil || o.checkpoint {
		state.Snapshot, state.Entries = o.ready.Snapshot, nil
	}
	for _, added := range o.ready.Entries {
		state.Entries = slices.DeleteFunc(state.Entries, func(previous replication.Entry) bool {
			return previous.Index >= added.Index
		})
		state.Entries = append(state.Entries, added)
	}
	return state
}

// runScript runs the operations of the script until one fails. It returns the acknowledged
// state, and the state that includes the operation in progress as well.
func runScript(disk *memdisk.Disk) (acknowledged, inProgress replication.DurableState) {
	log, _, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: smallLimit})
	if err != nil {
		return replication.DurableState{}, replication.DurableState{}
	}
	for _, next := range script {
		inProgress = next.after(acknowledged)
		if next.run(log) != nil {
			return acknowledged, inProgress
		}
		acknowledged = inProgress
	}
	return acknowledged, inProgress
}

// restoredGroup starts member b from the state on the disk.
func restoredGroup(disk *memdisk.Disk) *replication.Group {
	_, restored, err := Open(disk, logName)
	Expect(err).NotTo(HaveOccurred())
	group, err := replication.New(replication.Config{
		Self: "b", Incarnation: replication.FoundingIncarnation, Founders: []member.ID{"a", "b", "c"},
		HeartbeatEvery: time.Second, ElectionTimeout: time.Minute,
	}, restored, 0)
	Expect(err).NotTo(HaveOccurred())
	return group
}

var _ = Describe("A log", func() {
	It("restores the saved state after each operation", func() {
		disk := memdisk.New()
		var want replication.DurableState
		for i, next := range script {
			log, restored, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: smallLimit})
			Expect(err).NotTo(HaveOccurred())
			Expect(restored).To(Equal(want), "operation %d", i)
			Expect(next.run(log)).To(Succeed())
			want = next.after(want)
		}
	})

	It("restores what was acknowledged, with or without the operation in progress, after a crash at any byte", func() {
		withoutCrash := memdisk.New()
		runScript(withoutCrash)
		total := withoutCrash.Stats().Positions
		Expect(total).To(BeNumerically(">", 2000))
		for _, tear := range memdisk.Tears() {
			for position := range total + 1 {
				disk := memdisk.New()
				disk.CrashAt(memdisk.Crash{Position: position, Tear: tear})
				acknowledged, inProgress := runScript(disk)
				disk.Restart()
				_, restored, err := Open(disk, logName)
				if err != nil {
					Fail(fmt.Sprintf("tear %d at position %d: cannot open the log: %v", tear, position, err))
				}
				if !reflect.DeepEqual(restored, acknowledged) && !reflect.DeepEqual(restored, inProgress) {
					Fail(fmt.Sprintf("tear %d at position %d: restored %+v", tear, position, restored))
				}
				// The first Open may have rewritten a torn log.
				_, again, err := Open(disk, logName)
				if err != nil || !reflect.DeepEqual(again, restored) {
					Fail(fmt.Sprintf("tear %d at position %d: opened again with error %v, restored %+v", tear, position, err, again))
				}
			}
		}
	})

	It("writes checkpoints automatically, which bounds its size", func() {
		disk := memdisk.New()
		log, _, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: smallLimit})
		Expect(err).NotTo(HaveOccurred())
		for term := uint64(1); term <= 200; term++ {
			Expect(log.Save(replication.Ready{HardState: hardState(term, "a", 0)})).To(Succeed())
			Expect(log.store.LogBytes()).To(BeNumerically("<", 2*smallLimit))
		}
		_, restored, err := Open(disk, logName)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored).To(Equal(replication.DurableState{HardState: *hardState(200, "a", 0)}))
	})

	It("is unchanged by a full disk, and saves the same Ready once there is space", func() {
		disk := memdisk.New()
		log, _, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: smallLimit})
		Expect(err).NotTo(HaveOccurred())
		var want replication.DurableState
		for _, next := range script {
			disk.SetFull(true)
			Expect(next.run(log)).To(MatchError(twoslot.ErrDiskFull))
			disk.SetFull(false)
			_, restored, err := Open(disk.Clone(), logName)
			Expect(err).NotTo(HaveOccurred())
			Expect(restored).To(Equal(want))
			Expect(next.run(log)).To(Succeed())
			want = next.after(want)
		}
	})

	It("keeps entries that a rejected save would have replaced", func() {
		disk := memdisk.New()
		log, _, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Save(replication.Ready{Entries: entries(1, 1, 3)})).To(Succeed())
		disk.SetFull(true)
		Expect(log.Save(replication.Ready{Entries: entries(2, 2, 2)})).To(MatchError(twoslot.ErrDiskFull))
		disk.SetFull(false)
		// These saves reach the limit for a checkpoint, which is written from memory.
		for term := uint64(3); term < 30; term++ {
			Expect(log.Save(replication.Ready{HardState: hardState(term, "a", 0)})).To(Succeed())
		}
		_, restored, err := Open(disk, logName)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Entries).To(Equal(entries(1, 1, 3)))
	})

	It("acknowledges a save if only the checkpoint after it does not fit on the disk", func() {
		disk := memdisk.New()
		log, _, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: 1})
		Expect(err).NotTo(HaveOccurred())
		const recordOnlyCapacity = 300
		disk.SetCapacity(recordOnlyCapacity)
		Expect(log.Save(replication.Ready{Entries: entries(1, 1, 1)})).To(Succeed())
		Expect(disk.Stats().Refused).To(Equal(1))
		_, restored, err := Open(disk.Clone(), logName)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Entries).To(Equal(entries(1, 1, 1)))
	})

	// Guards against a log that outgrows the disk because its limit grows with the size of
	// the checkpoint (issue 37).
	It("bounds the log after a large checkpoint by MaxLogBytes", func() {
		const maxLogBytes = 4000
		disk := memdisk.New()
		log, _, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: smallLimit, MaxLogBytes: maxLogBytes})
		Expect(err).NotTo(HaveOccurred())
		large := snapshot(1, 1)
		large.Data = make([]byte, 3*maxLogBytes)
		Expect(log.Checkpoint(*hardState(1, "a", 1), large, nil)).To(Succeed())
		checkpointBytes := log.DiskBytes()
		for term := uint64(2); term < 200; term++ {
			Expect(log.Save(replication.Ready{HardState: hardState(term, "a", 1), Entries: entries(term, 2, 2)})).To(Succeed())
			Expect(log.DiskBytes()).To(BeNumerically("<", checkpointBytes+maxLogBytes+smallLimit))
			Expect(log.DiskBytes()).To(BeEquivalentTo(disk.Used()))
		}
	})

	It("returns entries from Open that later saves do not change", func() {
		disk := memdisk.New()
		runScript(disk)
		log, restored, err := Open(disk, logName)
		Expect(err).NotTo(HaveOccurred())
		before := slices.Clone(restored.Entries)
		Expect(log.Save(replication.Ready{HardState: hardState(9, "a", 0), Entries: entries(9, 25, 26)})).To(Succeed())
		Expect(restored.Entries).To(Equal(before))
	})

	It("restores the group without a group change whose entry was replaced", func() {
		founding := snapshot(1, 2)
		founding.Slots = []replication.Slot{
			{Voter: replication.Voter{ID: "a", Incarnation: 1}},
			{Voter: replication.Voter{ID: "b", Incarnation: 1}},
			{Voter: replication.Voter{ID: "c", Incarnation: 1}},
		}
		command, err := json.Marshal(snapshot(1, 2).Slots)
		Expect(err).NotTo(HaveOccurred())
		removal := replication.Entry{Index: 4, Term: 1, Kind: replication.EntryGroupChange, Command: command}

		disk := memdisk.New()
		log, _, err := Open(disk, logName)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Save(replication.Ready{HardState: hardState(1, "a", 2), Snapshot: founding})).To(Succeed())
		Expect(log.Save(replication.Ready{Entries: append(entries(1, 3, 3), removal)})).To(Succeed())
		Expect(restoredGroup(disk).Status().Slots).To(Equal(snapshot(1, 2).Slots))
		Expect(log.Save(replication.Ready{HardState: hardState(2, "b", 3), Entries: entries(2, 4, 5)})).To(Succeed())
		Expect(restoredGroup(disk).Status().Slots).To(Equal(founding.Slots))
	})

	DescribeTable("rejects a Ready that is not a valid continuation of its state, and writes nothing",
		func(ready replication.Ready) {
			disk := memdisk.New()
			runScript(disk)
			log, before, err := Open(disk, logName)
			Expect(err).NotTo(HaveOccurred())
			var rejected *OrderError
			Expect(log.Save(ready)).To(BeAssignableToTypeOf(rejected))
			_, after, err := Open(disk, logName)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(Equal(before))
		},
		Entry("entries after a gap", replication.Ready{Entries: entries(6, 29, 30)}),
		Entry("entries that the snapshot covers", replication.Ready{Entries: entries(6, 22, 30)}),
		Entry("entries with a gap", replication.Ready{Entries: append(entries(6, 28, 28), entries(6, 30, 30)...)}),
		Entry("an older term", replication.Ready{HardState: hardState(5, "a", 24)}),
	)

	It("restores the founders for a member that is configured without them", func() {
		disk := memdisk.New()
		log, _, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: smallLimit})
		Expect(err).NotTo(HaveOccurred())
		config := replication.Config{
			Self: "a", Incarnation: replication.FoundingIncarnation, Founders: []member.ID{"a"},
			HeartbeatEvery: time.Millisecond, ElectionTimeout: time.Second,
		}
		group, err := replication.New(config, replication.DurableState{}, 0)
		Expect(err).NotTo(HaveOccurred())
		group.Tick(time.Second)
		for group.HasReady() {
			Expect(log.Save(group.Ready())).To(Succeed())
			group.Advance()
		}
		config.Founders = nil
		expectFounders := func() {
			_, restored, err := OpenWithLimits(disk, logName, Limits{MinLogBytes: smallLimit})
			Expect(err).NotTo(HaveOccurred())
			again, err := replication.New(config, restored, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Status().Slots).To(Equal([]replication.Slot{{Voter: replication.Voter{ID: "a", Incarnation: replication.FoundingIncarnation}}}))
			Expect(again.Status().Role).To(Equal(replication.RoleFollower))
		}
		expectFounders()
		Expect(group.Compact(1, nil)).To(Succeed())
		checkpoint := group.Checkpoint()
		Expect(log.Checkpoint(checkpoint.HardState, checkpoint.Snapshot, checkpoint.Entries)).To(Succeed())
		expectFounders()
	})

	It("reports records that it did not write as corruption", func() {
		disk := memdisk.New()
		store, _, err := twoslot.Open(disk, logName)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Append([]byte("something else"))).To(Succeed())
		_, _, err = Open(disk, logName)
		Expect(err).To(MatchError(twoslot.ErrCorrupt))
	})
})
