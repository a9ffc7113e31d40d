package leaders

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// testShards has one group of three members, some of which can't be reached.
type testShards struct {
	hosted      bool
	leader      member.ID
	unreachable []member.ID
}

func (s *testShards) HostedLeader(uint32) (member.ID, bool) { return s.leader, s.hosted }
func (s *testShards) Group(uint32) []member.ID              { return []member.ID{"a", "b", "c"} }
func (s *testShards) Reachable(id member.ID) bool           { return !slices.Contains(s.unreachable, id) }

var _ = Describe("Directory", func() {
	var (
		shards    *testShards
		directory *Directory
	)

	BeforeEach(func() {
		shards = &testShards{}
		directory = NewDirectory(shards)
	})

	It("guesses the first member that can be reached before it has a hint", func() {
		Expect(directory.Known(1)).To(BeEmpty())
		Expect(directory.Guess(1)).To(Equal(member.ID("a")))
		shards.unreachable = []member.ID{"a"}
		Expect(directory.Guess(1)).To(Equal(member.ID("b")))
		shards.unreachable = []member.ID{"a", "b", "c"}
		Expect(directory.Guess(1)).To(BeEmpty())
	})

	It("follows hints, and drops one whose node does not lead", func() {
		directory.Redirected(1, "a", "c")
		Expect(directory.Guess(1)).To(Equal(member.ID("c")))
		directory.Redirected(1, "b", "")
		Expect(directory.Known(1)).To(Equal(member.ID("c")), "the reply of b does not concern c")
		directory.Redirected(1, "c", "")
		Expect(directory.Known(1)).To(BeEmpty())
	})

	It("does not guess a known leader that can't be reached", func() {
		directory.Learn(1, "c")
		shards.unreachable = []member.ID{"c"}
		Expect(directory.Known(1)).To(Equal(member.ID("c")))
		Expect(directory.Guess(1)).To(Equal(member.ID("a")))
	})

	It("prefers the leader that the hosted copy of the shard knows to a hint", func() {
		directory.Learn(1, "c")
		shards.hosted, shards.leader = true, "b"
		Expect(directory.Known(1)).To(Equal(member.ID("b")))
	})

	DescribeTable("returns the members of the group in turn", func(previous string, next string) {
		shards.unreachable = []member.ID{"b"}
		Expect(directory.Next(1, member.ID(previous))).To(Equal(member.ID(next)))
	},
		Entry("after the first, without one that can't be reached", "a", "c"),
		Entry("after the last", "c", "a"),
		Entry("after a node outside the group", "x", "a"),
	)
})
