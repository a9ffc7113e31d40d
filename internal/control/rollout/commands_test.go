package rollout

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
)

// leasedShard is a service shard without rows, whose command lease expires at until.
type leasedShard struct {
	term  uint64
	until time.Duration
}

func (s leasedShard) ID() uint32                            { return 1 }
func (s leasedShard) Term() uint64                          { return s.term }
func (s leasedShard) Rows() []*controlpb.ReplicaState       { return nil }
func (s leasedShard) ConfirmedEverywhere(uint64) bool       { return true }
func (s leasedShard) DrainedEverywhere(uint64) bool         { return true }
func (s leasedShard) HasCommandLease(at time.Duration) bool { return at < s.until }

var _ = Describe("a new leader", func() {
	const leaderSince = 3 * time.Second

	config := Config{LeaseDuration: time.Second, LeaseMargin: 300 * time.Millisecond, CommandGap: 3 * time.Second}
	gap := config.LeaseDuration + config.LeaseMargin + config.CommandGap

	newLeader := func(term uint64) *Machine {
		machine := New(config, []uint32{1}, 0)
		machine.Lead(leaderSince, 1, term)
		return machine
	}
	mayCommandAt := func(machine *Machine, shard Shard, now time.Duration) bool {
		return machine.shards[1].commandLeaseValid(now, config, shard)
	}

	It("waits until the last command of an earlier leader is at least CommandGap old", func() {
		machine, shard := newLeader(2), leasedShard{term: 2, until: time.Hour}
		Expect(mayCommandAt(machine, shard, leaderSince)).To(BeFalse())
		Expect(mayCommandAt(machine, shard, leaderSince+gap-time.Millisecond)).To(BeFalse())
		Expect(mayCommandAt(machine, shard, leaderSince+gap)).To(BeTrue())
	})

	It("does not wait in the first term", func() {
		Expect(mayCommandAt(newLeader(1), leasedShard{term: 1, until: time.Hour}, leaderSince)).To(BeTrue())
	})

	It("does not wait for a replica that no earlier leader has commanded lately", func() {
		shard := leasedShard{term: 2, until: time.Hour}
		mayCommand := func(address string, config Config) bool {
			machine := New(config, []uint32{1}, 0)
			machine.Lead(leaderSince, 1, 2)
			machine.shards[1].recordRowsAtStart([]*controlpb.ReplicaState{{Address: "moved"}})
			machine.shards[1].recordRowsAtStart([]*controlpb.ReplicaState{{Address: "other"}})
			rolling := &poolRollout{config: config, now: leaderSince, shard: shard, state: machine.shards[1]}
			return rolling.mayCommand(address)
		}
		Expect(mayCommand("moved", config)).To(BeFalse())
		Expect(mayCommand("other", config)).To(BeTrue())
		longGap := config
		longGap.CommandGap = rowRetention
		Expect(mayCommand("other", longGap)).To(BeFalse())
	})

	It("takes no replica out of service until it may command that replica soon", func() {
		finishFirst := config
		finishFirst.ReplicasFinishFirst = true
		machine := newLeader(2)
		machine.shards[1].recordRowsAtStart([]*controlpb.ReplicaState{{Address: "moved"}})
		commandableSoon := func(address string, now time.Duration) bool {
			rolling := &poolRollout{config: finishFirst, now: now, state: machine.shards[1]}
			return rolling.commandableSoon(poolReplica{Replica: listing.Replica{Address: address}})
		}
		Expect(commandableSoon("moved", leaderSince+gap-confirmationTimeout-time.Millisecond)).To(BeFalse())
		Expect(commandableSoon("moved", leaderSince+gap-confirmationTimeout)).To(BeTrue())
		Expect(commandableSoon("other", leaderSince)).To(BeTrue())
	})

	It("is not entitled to command if its lease expires during the time of a command", func() {
		machine := newLeader(1)
		Expect(mayCommandAt(machine, leasedShard{term: 1, until: leaderSince + commandTimeout}, leaderSince)).To(BeFalse())
		Expect(mayCommandAt(machine, leasedShard{term: 1, until: leaderSince + commandTimeout + 1}, leaderSince)).To(BeTrue())
	})
})
