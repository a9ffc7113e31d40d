package shards

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

func TestShards(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shards")
}

// noopHost is a Host that does nothing.
type noopHost struct{}

func (noopHost) SendReplication(member.ID, uint32, replication.Message)           {}
func (noopHost) Write(Write)                                                      {}
func (noopHost) Applied(*Shard, *controlpb.Command, *controlpb.Answer, *Proposal) {}
func (noopHost) ReadsFinished(*Shard, replication.Ready)                          {}
func (noopHost) Committed(*Shard)                                                 {}

var _ = Describe("A shard", func() {
	// A member that lost the leadership and restored a snapshot must not retain its proposals
	// for the entries before it forever: those entries are never applied one by one
	// (issue 37).
	It("drops the proposals whose entries a snapshot includes", func() {
		shard, err := New(shardstate.ConfigurationShard, noopHost{}, replication.Config{
			Self: "a", Incarnation: replication.FoundingIncarnation, Founders: []member.ID{"a", "b", "c"},
			HeartbeatEvery: time.Second, ElectionTimeout: 3 * time.Second,
		}, replication.DurableState{}, 0)
		Expect(err).NotTo(HaveOccurred())
		for index := range uint64(9) {
			shard.proposals[index+1] = Proposal{From: "n"}
		}
		shard.replaceState(&replication.Snapshot{Index: 7})
		Expect(shard.proposals).To(HaveLen(2))
		Expect(shard.proposals).To(And(HaveKey(uint64(8)), HaveKey(uint64(9))))
	})
})
