package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/storagelimit"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

// boundedNode is the only node of a deployment, with a disk of limited capacity.
type boundedNode struct {
	limits  storagelimit.Limits
	disk    *memdisk.Disk
	logs    map[uint32]*durable.Log
	machine *Machine
	now     time.Duration
	ticket  uint64
	answers map[uint64]*controlpb.Answer
	// unwritten are the writes that failed because the disk was full.
	unwritten []StorageWrite
}

func newBoundedNode(machine storagelimit.Machine) *boundedNode {
	node := &boundedNode{limits: storagelimit.For(machine), disk: memdisk.New(), answers: map[uint64]*controlpb.Answer{}}
	node.disk.SetCapacity(int(machine.DiskBytes))
	node.start()
	return node
}

// start starts a process from the data on the disk.
func (n *boundedNode) start() {
	n.logs = map[uint32]*durable.Log{}
	n.unwritten = nil
	restored := map[uint32]replication.Restored{}
	for shard := range uint32(2) {
		log, state, err := durable.OpenWithLimits(n.disk, fmt.Sprint("shard-", shard), durable.Limits{
			MinLogBytes: durable.DefaultMinLogBytes, MaxLogBytes: n.limits.CheckpointLog,
		})
		Expect(err).NotTo(HaveOccurred())
		n.logs[shard], restored[shard] = log, state
	}
	machine, err := New(Config{
		Self:          member.Info{ID: "a", Address: "127.0.0.1:1", Zone: "z1", HoldsState: true, Incarnation: member.Incarnation(n.now + 1)},
		Group:         []member.ID{"a"},
		ServiceShards: 1,
		Times:         DefaultTimes(),
		Limits:        n.limits,
	}, restored, idleTraffic{}, n.now)
	Expect(err).NotTo(HaveOccurred())
	n.machine = machine
	n.run(2 * time.Second)
}

func (n *boundedNode) write(write StorageWrite) error {
	if write.Checkpoint == nil {
		return n.logs[write.Shard].Save(write.Ready)
	}
	return n.logs[write.Shard].Checkpoint(write.Checkpoint.HardState, write.Checkpoint.Snapshot, write.Checkpoint.Entries)
}

func (n *boundedNode) perform(output Output) {
	for _, reply := range output.Replies {
		n.answers[reply.Ticket] = reply.Answer
	}
	for _, write := range output.Writes {
		err := n.write(write)
		if errors.Is(err, twoslot.ErrDiskFull) {
			n.unwritten = append(n.unwritten, write)
			continue
		}
		Expect(err).NotTo(HaveOccurred())
		n.perform(n.machine.StorageWritten(n.now, write.Shard))
	}
}

// run advances the time. Writes that failed because the disk was full are repeated at each
// tick.
func (n *boundedNode) run(duration time.Duration) {
	for end := n.now + duration; n.now < end; n.now += DefaultTickEvery {
		refused := n.unwritten
		n.unwritten = nil
		n.perform(Output{Writes: refused})
		n.perform(n.machine.Tick(n.now))
	}
}

func (n *boundedNode) submit(order *controlpb.Order) *controlpb.Answer {
	n.ticket++
	n.perform(n.machine.Submit(n.now, n.ticket, order))
	for range 100 {
		if answer, done := n.answers[n.ticket]; done {
			delete(n.answers, n.ticket)
			return answer
		}
		n.run(DefaultTickEvery)
	}
	return nil
}

// largeDocument returns an order with a document of the given size, which consists of random
// bytes so that it can't be compressed.
func largeDocument(version, base uint64, bytes int) *controlpb.Order {
	document := make([]byte, bytes)
	_, err := rand.NewChaCha8([32]byte{byte(version), byte(version >> 8), byte(base), byte(base >> 8)}).Read(document)
	Expect(err).NotTo(HaveOccurred())
	order, err := dynamic.DocumentOrder(&ridgeswitchv1.Configuration{}, &ridgeswitchv1.Source{
		Version: version, BaseVersion: base, Document: document,
	})
	Expect(err).NotTo(HaveOccurred())
	return order
}

var _ = Describe("Large configurations", func() {
	const mebibyte = 1 << 20
	machine := storagelimit.Machine{DiskBytes: 8 * mebibyte, MemoryBytes: 20 * mebibyte}

	// Guards against a log that outgrows the disk because its entries are limited by number
	// and not by size, and because refused changes enter it (issue 37, review/1).
	It("take bounded disk space while many changes are accepted, refused and resent", func() {
		// The state keeps the answers to accepted orders, up to dynamic.MaxAnswers of them.
		const changes, documentBytes, documentsOnDisk, answerBytes = 1000, 500 << 10, 8, 256
		node := newBoundedNode(machine)
		peak := 0
		for change := range uint64(changes) {
			version := change + 1
			if change == changes/2 {
				peak = node.disk.Stats().PeakBytes
			}
			Expect(node.submit(largeDocument(version, version-1, documentBytes)).GetConfirmed()).To(BeTrue())
			before := node.disk.Used()
			lost := node.submit(largeDocument(version+changes, version-1, documentBytes))
			Expect(lost.GetProblem().GetKind()).To(BeEquivalentTo(dynamic.KindBaseRevisionStale))
			Expect(node.disk.Used()-before).To(BeNumerically("<", documentBytes/10), "a refused document must not be stored")
			Expect(node.submit(largeDocument(version, version-1, documentBytes)).GetConfirmed()).To(BeTrue(), "a resent order must be confirmed")
			Expect(node.disk.Used()-before).To(BeNumerically("<", documentBytes/10), "a resent document must not be stored again")
		}
		Expect(node.disk.Stats().Refused).To(BeZero())
		Expect(node.disk.Stats().PeakBytes-peak).To(BeNumerically("<", changes*answerBytes), "the peak must not grow by more than the answers in the second half")
		Expect(peak).To(BeNumerically("<", documentsOnDisk*documentBytes))
		node.start()
		Expect(node.machine.Configuration().GetSource().GetVersion()).To(BeEquivalentTo(changes))
	})

	It("are accepted up to the size limit of the machine, and refused beyond it", func() {
		node := newBoundedNode(machine)
		const overheadBytes = 1 << 10
		largest := node.limits.Command - overheadBytes
		for version := range uint64(30) {
			Expect(node.submit(largeDocument(version+1, version, largest)).GetConfirmed()).To(BeTrue())
		}
		tooLarge := node.submit(largeDocument(31, 30, largest+2*overheadBytes))
		Expect(tooLarge.GetProblem().GetKind()).To(BeEquivalentTo(dynamic.KindOversize))
		Expect(node.disk.Stats().Refused).To(BeZero())
		Expect(node.disk.Stats().PeakBytes).To(BeNumerically("<", machine.DiskBytes))
	})

	// Guards against a log that was written by an earlier release, without a limit in bytes,
	// and that keeps its size after a start.
	It("are compacted after a start if their log was written without a limit in bytes", func() {
		const documents, documentBytes = 30, 200 << 10
		node := newBoundedNode(storagelimit.Machine{})
		node.limits.Log, node.limits.CheckpointLog = 1<<40, 1<<40
		node.start()
		for version := range uint64(documents) {
			Expect(node.submit(largeDocument(version+1, version, documentBytes)).GetConfirmed()).To(BeTrue())
		}
		Expect(node.disk.Used()).To(BeNumerically(">", documents*documentBytes))
		node.limits = storagelimit.For(machine)
		node.start()
		Expect(node.machine.Configuration().GetSource().GetVersion()).To(BeEquivalentTo(documents))
		Expect(node.disk.Used()).To(BeNumerically("<", 4*documentBytes))
	})

	It("are accepted again once a full disk has space, and no acknowledged one is lost", func() {
		const documentBytes = 300 << 10
		node := newBoundedNode(machine)
		for version := range uint64(40) {
			fill := version%4 == 3
			node.disk.SetFull(fill)
			order := largeDocument(version+1, version, documentBytes)
			if fill {
				Expect(node.submit(order)).To(BeNil())
				node.disk.SetFull(false)
				node.run(time.Second)
			}
			Expect(node.submit(order).GetConfirmed()).To(BeTrue())
		}
		node.start()
		Expect(node.machine.Configuration().GetSource().GetVersion()).To(BeEquivalentTo(40))
	})
})
