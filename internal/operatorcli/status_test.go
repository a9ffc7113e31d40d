package operatorcli_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// deployment is a core node that leads two shards, and a front node. Each reports a status of
// its own.
type deployment struct {
	core, front         *cluster
	coreNode, frontNode *node
}

func newDeployment() *deployment {
	d := &deployment{}
	d.core = &cluster{machine: dynamic.NewMachine(nil), weights: &ridgeswitchv1.WeightsStatus{Pool: "p", WeightVersion: "w"}}
	d.front = &cluster{machine: d.core.machine}
	d.coreNode, d.frontNode = startNode(d.core), startNode(d.front)
	shards := func() []*ridgeswitchv1.ShardStatus {
		return []*ridgeswitchv1.ShardStatus{{Shard: 0, Leader: "core-1", Term: 4}, {Shard: 1, Leader: "core-1", Term: 2}}
	}
	members := func() []*ridgeswitchv1.MemberStatus {
		return []*ridgeswitchv1.MemberStatus{
			{Node: "core-1", State: "alive", ControlAddress: d.coreNode.address},
			{Node: "front-1", State: "alive", ControlAddress: d.frontNode.address},
			{Node: "front-2", State: "left"},
		}
	}
	d.core.status = &ridgeswitchv1.NodeStatus{Node: "core-1", ServedRevision: 7, Members: members(), Shards: shards()}
	d.front.status = &ridgeswitchv1.NodeStatus{Node: "front-1", ServedRevision: 7, Members: members(), Shards: shards()}
	Expect(run(configuration, "apply --file -", d.coreNode).code).To(BeZero())
	return d
}

// summary runs a status command and returns the lines of the summary, with one space between
// the columns.
func (d *deployment) summary(line string) []string {
	ended := run("", line, d.coreNode)
	ExpectWithOffset(1, ended.code).To(BeZero(), ended.err)
	summary, _, _ := strings.Cut(ended.out, "\n\n")
	var lines []string
	for _, text := range strings.Split(summary, "\n")[2:] {
		lines = append(lines, strings.Join(strings.Fields(text), " "))
	}
	return lines
}

var _ = Describe("The summary of a status table", func() {
	const all = "status --output table --all"
	var d *deployment

	BeforeEach(func() { d = newDeployment() })

	It("reports ok for a healthy deployment", func() {
		Expect(d.summary(all)).To(HaveExactElements(
			"shards ok each of 2 has a leader",
			"members ok 2 alive, 1 left",
			"traffic ok 2 of 2 live members serve",
			"revisions ok 7 on all 2 that answered",
			"roll-outs ok none under way in 1 pools",
		))
		Expect(run("", all, d.coreNode).out).To(MatchRegexp(`(?m)^front-1 +\S+ +false +0 +7 +0$`))
	})

	DescribeTable("reports each condition on the line of its check", func(line string, inject func(), expected string) {
		inject()
		Expect(d.summary(line)).To(ContainElement(expected))
	},
		Entry("no leader known", "status --output table", func() { d.core.status.Shards[1].Leader = "" },
			"shards ATTENTION shard 1: no known leader"),
		Entry("leader fenced", "status --output table", func() { d.core.status.Members[0].State = "fenced" },
			"shards ATTENTION shard 0: leader core-1 is fenced; shard 1: leader core-1 is fenced"),
		Entry("a leader that does not report itself as the leader", all, func() { d.core.status.Shards[1].Leader = "front-1" },
			"shards ATTENTION shard 1: no node that answered leads it"),
		Entry("two leaders", all, func() { d.front.status.Shards[0] = &ridgeswitchv1.ShardStatus{Leader: "front-1", Term: 5} },
			"shards ATTENTION shard 0: claimed by core-1 in term 4 and front-1 in term 5"),
		Entry("suspect and fenced members", all, func() {
			d.core.status.Members[1].State = "suspect"
			d.core.status.Members[2].State = "fenced"
		}, "members ATTENTION 1 alive; fenced: front-2; suspect: front-1"),
		Entry("the queried node fenced", "status --output table", func() { d.core.status.Fenced = true },
			"traffic ATTENTION core-1 refuses traffic"),
		Entry("another node fenced", all, func() { d.front.status.Fenced = true },
			"traffic ATTENTION 1 of 2 live members serve; refusing: front-1"),
		Entry("a node that does not respond", all, func() { d.core.status.Members[1].ControlAddress = "127.0.0.1:1" },
			"traffic ATTENTION 1 of 2 live members serve; no answer: front-1"),
		Entry("a node that responds with a server error", all, func() { d.frontNode.statuses = []int{503} },
			"traffic ATTENTION 1 of 2 live members serve; no answer: front-1"),
		Entry("a node that serves an older revision", all, func() { d.front.status.ServedRevision = 6 },
			"revisions ATTENTION 7 on core-1; 6 on front-1"),
		Entry("a roll-out under way", all, func() {
			d.core.weights.Replicas = []*ridgeswitchv1.ReplicaStatus{
				{Phase: "serving", WeightVersion: "w"},
				{Phase: "serving", WeightVersion: "v"},
				{Phase: "loading", WeightVersion: "v"},
				{Phase: "serving", WeightVersion: "v", PlatformDraining: true},
			}
		}, "roll-outs under way p: 1 of 3 serve w, 1 loading"),
	)
})
