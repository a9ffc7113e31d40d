package relaytree_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/timelinetest"
)

// The state that the step "fill" publishes takes 14 chunks, each of which takes a round trip
// of 10 ms.
const (
	timelineChunkBytes = 1 << 10
	timelineSections   = 100
)

// Columns of the timelines in testdata have the format node@zone. These steps change
// something:
//
//	root      the node becomes the root, and all nodes learn of it
//	publish   the node publishes a revision
//	fill      the node publishes a state that takes many chunks
//	restart   the node loses its state
//	kill      the node dies, and the other nodes learn of it
//	crash     the node dies, and the other nodes don't learn of it
//	isolate   the node receives no messages from now on
//	rejoin    the node receives messages again
//
// The step revision(number) checks that the node has that revision.
var _ = Describe("timelines", func() {
	for _, timeline := range lo.Must(timelinetest.ReadAll("testdata")) {
		It(timeline.Name, func() { runTimeline(timeline) })
	}
})

func runTimeline(timeline timelinetest.Timeline) {
	net := newNetworkWithChunks(1, timeline.Columns, timelineChunkBytes)
	for _, instant := range timeline.Instants {
		net.run(instant.At - net.now)
		for _, step := range instant.Steps {
			net.perform(net.nodes[step.Column], step)
		}
	}
	Expect(net.violations).To(BeEmpty())
}

func (net *network) perform(n *node, step timelinetest.Step) {
	switch step.Verb {
	case "root":
		net.setRoot(n.id)
	case "publish":
		net.publish(n)
	case "fill":
		net.publishLargeState(n, timelineSections)
	case "restart":
		net.restart(n)
	case "kill":
		n.dead = true
		net.setMembers(everyNode)
	case "crash":
		n.dead = true
	case "isolate", "rejoin":
		n.isolated = step.Verb == "isolate"
	case "revision":
		Expect(strconv.FormatUint(n.machine.Revision(topic), 10)).To(Equal(step.Argument), step.Where)
	default:
		Fail("unknown step: " + step.Where)
	}
}
