package relaytree_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A filled state takes 14 chunks, each a round trip of 10 ms.
const (
	timelineChunkBytes = 1 << 10
	timelineSections   = 100
)

// Each file of testdata is a timeline: the first row names the columns
// (node@zone), each further row is an instant. A cell acts (root, publish, fill:
// publishes a state that takes many chunks, restart: loses its state, kill: all learn
// of it, crash: dies and nobody learns of it, isolate: receives nothing, rejoin) or checks
// (revision(number)).
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
	var net *network
	for line := range strings.Lines(text) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if strings.HasPrefix(line, "#") {
			continue
		}
		if net == nil {
			net = newNetworkWithChunks(1, cells[1:], timelineChunkBytes)
			continue
		}
		at, err := time.ParseDuration(strings.TrimSpace(cells[0]))
		Expect(err).NotTo(HaveOccurred())
		net.run(at - net.now)
		for i, cell := range cells[1:] {
			for token := range strings.SplitSeq(cell, ",") {
				net.perform(net.nodes[i], strings.TrimSpace(token), line)
			}
		}
	}
	Expect(net.violations).To(BeEmpty())
}

func (net *network) perform(n *node, token, line string) {
	verb, argument, _ := strings.Cut(strings.TrimSuffix(token, ")"), "(")
	switch verb {
	case "":
	case "root":
		net.setRoot(n.id)
	case "publish":
		net.publish(n)
	case "fill":
		net.fill(n, timelineSections)
	case "restart":
		net.restart(n)
	case "kill":
		n.dead = true
		net.setMembers(everyone)
	case "crash":
		n.dead = true
	case "isolate", "rejoin":
		n.isolated = verb == "isolate"
	case "revision":
		Expect(strconv.FormatUint(n.machine.Revision(topic), 10)).To(Equal(argument), string(n.id)+": "+line)
	default:
		Fail("unknown token " + token)
	}
}
