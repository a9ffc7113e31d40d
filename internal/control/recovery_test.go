package control

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/recovery"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// evacuation returns the encoded command of an order that evacuates a zone.
func evacuation(zone string) []byte {
	order := &controlpb.Order{
		OrderId: "order-" + zone,
		Digest:  []byte(zone),
		Change:  &controlpb.Order_SetEvacuation{SetEvacuation: &controlpb.SetEvacuation{Zone: zone, Evacuated: true, Reason: "test"}},
	}
	payload, err := proto.Marshal(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
	Expect(err).NotTo(HaveOccurred())
	return payload
}

// survivingMember returns a node whose log evacuates one zone in each entry, and its
// configuration shard. The first entries, up to the index committed, are known to be
// committed.
func survivingMember(committed uint64, zones ...string) (*Machine, hostedShard) {
	restored := replication.Restored{HardState: replication.HardState{Term: 1, Commit: committed}}
	for position, zone := range zones {
		restored.Entries = append(restored.Entries, replication.Entry{
			Index: uint64(position) + 1, Term: 1, Kind: replication.EntryCommand, Command: evacuation(zone),
		})
	}
	machine, err := New(Config{
		Self:  member.Info{ID: "a", Address: "a:1", HoldsState: true, Incarnation: 5},
		Group: []member.ID{"a", "b", "c"},
		Times: DefaultTimes(),
	}, map[uint32]replication.Restored{0: restored}, idleTraffic{}, 0)
	Expect(err).NotTo(HaveOccurred())
	machine.Tick(time.Millisecond)
	shard, hosted := machine.shards.find(ConfigurationShard)
	Expect(hosted).To(BeTrue())
	return machine, shard
}

// receiveAsWitness gives the node, through the relay tree, the state of a group that evacuated
// the zones.
func (m *Machine) receiveAsWitness(zones ...string) {
	state := shardstate.NewConfiguration(&controlpb.ConfigurationState{})
	for _, zone := range zones {
		command := &controlpb.Command{}
		Expect(proto.Unmarshal(evacuation(zone), command)).To(Succeed())
		state.Apply(command)
	}
	sections, err := state.Sections()
	Expect(err).NotTo(HaveOccurred())
	_, updates := m.states.tree.Publish(relaytree.Topic(ConfigurationShard), state.Revision(), sections)
	m.states.apply(updates)
}

func zonesOf(configuration *ridgeswitchv1.Configuration) []string {
	var zones []string
	for _, one := range configuration.GetEvacuations() {
		zones = append(zones, one.GetZone())
	}
	return zones
}

var _ = Describe("the state of a recovered group", func() {
	DescribeTable("covers the log of the surviving member and the state of the witnesses",
		func(committed int, logged, witnessed, recovered []string) {
			machine, shard := survivingMember(uint64(committed), logged...)
			machine.receiveAsWitness(witnessed...)
			replies := map[member.ID]recovery.WitnessReply{"router": {Incarnation: 9}}
			data, err := machine.recovery.RecoveredState(shard, replies)
			Expect(err).NotTo(HaveOccurred())
			state, err := shardstate.Restore(ConfigurationShard, data)
			Expect(err).NotTo(HaveOccurred())
			configuration := state.(*shardstate.Configuration)
			Expect(zonesOf(configuration.Configuration())).To(ConsistOf(recovered))
			Expect(configuration.Revision()).To(BeEquivalentTo(len(recovered)))
			for position, zone := range recovered {
				Expect(configuration.Answer("order-" + zone).GetRevision()).To(BeEquivalentTo(position + 1))
			}
			Expect(fmt.Sprint(state.Nodes())).To(And(ContainSubstring("router"), ContainSubstring("incarnation:5")))
		},
		Entry("without a witness: the whole log", 1, []string{"n", "s"}, nil, []string{"n", "s"}),
		Entry("with a witness of an earlier state than the log's", 1, []string{"n", "s"}, []string{"n"}, []string{"n", "s"}),
		Entry("with a witness of entries that are not known to be committed", 0, []string{"n", "s", "w"}, []string{"n", "s"}, []string{"n", "s", "w"}),
		Entry("with a witness of a later state than the log's", 1, []string{"n"}, []string{"n", "s", "w"}, []string{"n", "s", "w"}),
		Entry("with an empty log: the state of the witness", 0, nil, []string{"n", "s"}, []string{"n", "s"}),
		Entry("with a log whose last entry was superseded by another committed one", 1, []string{"n", "s"}, []string{"n", "w"}, []string{"n", "w"}),
		Entry("with a longer log that diverges from the state of the witness", 1, []string{"n", "s", "e"}, []string{"n", "w"}, []string{"n", "w"}),
	)
})
