package membership_test

import (
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/timelinetest"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// The columns of the timelines in testdata are node@zone. A step is an action on that node:
// start, start(seed seed), kill, freeze, wake, leave, remove(b), block(b) (messages from the
// node to b are lost), unblock(b), isolate, rejoin; or a check: serving, fenced, fences(n)
// (FenceCount is n), certain(b) (CertainlyFenced), uncertain(b), alive(b), notalive(b),
// unknown(b).
var _ = Describe("timelines", func() {
	for _, timeline := range lo.Must(timelinetest.ReadAll("testdata")) {
		It(timeline.Name, func() { runTimeline(timeline) })
	}
})

func runTimeline(timeline timelinetest.Timeline) {
	net := newNetwork(7)
	for _, column := range timeline.Columns {
		name, zone, _ := strings.Cut(column, "@")
		net.add(name, zone)
	}
	for _, instant := range timeline.Instants {
		net.runUntil(instant.At)
		for _, step := range instant.Steps {
			runStep(net, net.names[step.Column], step)
		}
	}
	Expect(net.violations).To(BeEmpty())
}

func runStep(net *network, name string, step timelinetest.Step) {
	verb, argument, where := step.Verb, step.Argument, step.Where
	n := net.nodes[name]
	other := member.ID(argument)
	switch verb {
	case "start":
		seeds := strings.Fields(argument)
		if len(seeds) == 0 {
			seeds = net.names[:min(3, len(net.names))]
		}
		net.start(name, seeds...)
	case "kill":
		net.kill(name)
	case "freeze", "wake":
		n.frozen = verb == "freeze"
	case "leave":
		net.leave(name)
	case "remove":
		incarnation, _ := n.machine.Incarnation(other)
		out, err := n.machine.Remove(net.clock(n), other, incarnation)
		Expect(err).NotTo(HaveOccurred())
		net.send(name, out)
	case "block", "unblock":
		net.blocked[link{name, argument}] = verb == "block"
	case "isolate", "rejoin":
		net.isolate(name, verb == "isolate")
	case "serving", "fenced":
		Expect(net.serves(name)).To(Equal(verb == "serving"), where)
	case "fences":
		Expect(strconv.FormatUint(n.machine.FenceCount(), 10)).To(Equal(argument), where)
	case "certain", "uncertain":
		Expect(n.machine.CertainlyFenced(other)).To(Equal(verb == "certain"), where)
	case "alive", "notalive":
		Expect(n.machine.Alive(other)).To(Equal(verb == "alive"), where)
	case "unknown":
		_, known := n.machine.Incarnation(other)
		Expect(known).To(BeFalse(), where)
	default:
		Fail("unknown verb in the timeline: " + where)
	}
}
