package listing

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

// Each file of testdata is a timeline. Its first row names the columns: nodes as node@zone,
// and the platform. Nodes whose names begin with d have disks. Each further row is a point
// in time. A node's cell contains actions and checks. The actions are start, kill, freeze,
// wake, isolate and rejoin; cut(b) drops all messages to node b until mend(b); fail makes
// the node's readings fail until mended. The checks are reads, follows, admits(x) and
// excludes(x). The actions of the platform's column are drain(x), ready(x), remove(x) and
// version(x v); its check calls(n) allows at most n calls since the previous such check.
var _ = Describe("timelines", func() {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		panic("testdata contains no timelines")
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
	s := newSimulation(7)
	var columns []string
	for number, line := range strings.Split(text, "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		cells := strings.Split(line, "|")
		if columns == nil {
			columns = addColumns(s, cells)
			continue
		}
		at, err := time.ParseDuration(strings.TrimSpace(cells[0]))
		Expect(err).NotTo(HaveOccurred())
		s.runUntil(at)
		for i, cell := range cells[1:] {
			for _, token := range strings.Split(cell, ",") {
				if token = strings.TrimSpace(token); token != "" {
					perform(s, columns[i], token, number+1)
				}
			}
		}
	}
}

func addColumns(s *simulation, cells []string) []string {
	var columns []string
	for _, cell := range cells[1:] {
		name, zone, isNode := strings.Cut(strings.TrimSpace(cell), "@")
		if isNode {
			s.add(name, zone, strings.HasPrefix(name, "d"))
		}
		columns = append(columns, name)
	}
	return columns
}

func perform(s *simulation, column, token string, line int) {
	verb, argument, _ := strings.Cut(strings.TrimSuffix(token, ")"), "(")
	where := "line " + strconv.Itoa(line) + ", " + column + ": " + token
	if column == "platform" {
		performOnPlatform(s, verb, argument, where)
		return
	}
	n := s.node(column)
	switch verb {
	case "start":
		s.start(n)
	case "kill":
		s.kill(n)
	case "freeze":
		n.frozen = true
		n.silentSince = s.now
	case "wake":
		s.wake(n)
	case "isolate", "rejoin":
		s.setPartitioned(n, verb == "isolate")
	case "cut", "mend":
		s.cut[[2]member.ID{n.id, member.ID(argument)}] = verb == "cut"
	case "fail", "mended":
		n.failing = verb == "fail"
	case "reads", "follows":
		Expect(n.machine.IsReader()).To(Equal(verb == "reads"), where)
	case "admits", "excludes":
		Expect(admits(n, argument)).To(Equal(verb == "admits"), where)
	default:
		Fail("unknown token: " + where)
	}
}

func performOnPlatform(s *simulation, verb, argument, where string) {
	switch verb {
	case "drain", "ready":
		s.setReplica(argument, func(one *Replica) { one.Draining = verb == "drain" })
	case "remove":
		s.removeReplica(argument)
	case "version":
		address, version, _ := strings.Cut(argument, " ")
		s.setReplica(address, func(one *Replica) { one.WeightVersion = version })
	case "calls":
		most, err := strconv.Atoi(argument)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.calls).To(BeNumerically("<=", most), where)
		s.calls = 0
	default:
		Fail("unknown token: " + where)
	}
}
