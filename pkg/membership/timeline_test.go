package membership_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Each file of testdata is a timeline: the first row names the columns (node@zone), each
// further row is an instant. A cell acts (start, start(seed seed), kill, freeze, wake,
// leave, remove(b), block(b): no message from here reaches b, unblock(b), isolate, rejoin)
// or checks (serving, fenced, fences(n): FenceCount, certain(b), uncertain(b), alive(b),
// notalive(b), unknown(b)).
var _ = Describe("timelines", func() {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		panic("no timelines")
	}
	for _, file := range files {
		It(strings.TrimSuffix(filepath.Base(file), ".txt"), func() {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			runTimeline(string(text))
		})
	}
})

func runTimeline(text string) {
	net := newNetwork(7)
	var columns []string
	for number, line := range strings.Split(text, "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		cells := strings.Split(line, "|")
		if columns == nil {
			columns = addColumns(net, cells)
			continue
		}
		at, err := time.ParseDuration(strings.TrimSpace(cells[0]))
		Expect(err).NotTo(HaveOccurred())
		Expect(at).To(BeNumerically(">=", net.now))
		net.runUntil(at)
		for i, cell := range cells[1:] {
			for _, token := range strings.Split(cell, ",") {
				if token = strings.TrimSpace(token); token != "" {
					perform(net, columns[i], token, number+1)
				}
			}
		}
	}
	Expect(net.violations).To(BeEmpty())
}

func addColumns(net *network, cells []string) []string {
	var columns []string
	for _, cell := range cells[1:] {
		name, zone, _ := strings.Cut(strings.TrimSpace(cell), "@")
		net.add(name, zone)
		columns = append(columns, name)
	}
	return columns
}

func perform(net *network, name, token string, line int) {
	verb, argument, _ := strings.Cut(strings.TrimSuffix(token, ")"), "(")
	n := net.nodes[name]
	other := member.ID(argument)
	where := "line " + strconv.Itoa(line) + ", " + name + ": " + token
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
		net.blocked[direction{name, argument}] = verb == "block"
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
		Fail("unknown token: " + where)
	}
}
