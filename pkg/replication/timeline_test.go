package replication_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

var updateTimelines = flag.Bool("update-timelines", false, "overwrite the timelines instead of comparing them")

// A timeline has one line per event, one column per node, and the time after the event in the
// last column. A cell shows the state of the node after the event: its role, then
//
//	t2      its term
//	7/8     the last committed index, and the last index of the log
//	s5      the last index that its snapshot covers, if it has one
//	lease   it has the command lease
//	v3@5    the group differs from that of the founders: 3 voters since entry 5
//
// Lines that begin with # are comments. runEvent and runNodeEvent perform the events: wipe
// starts the node at once on an empty disk, where it never votes again; lose stops the node
// and removes its disk until start; end removes the node permanently.
var _ = DescribeTable("timelines", func(path string) {
	content, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	rendered := runTimeline(string(content))
	if *updateTimelines {
		Expect(os.WriteFile(path, []byte(rendered), 0o644)).To(Succeed())
	}
	Expect(rendered).To(Equal(string(content)))
}, timelineEntries())

func timelineEntries() []TableEntry {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		panic("no timelines in testdata")
	}
	var entries []TableEntry
	for _, path := range paths {
		entries = append(entries, Entry(filepath.Base(path), path))
	}
	return entries
}

func runTimeline(content string) string {
	var c *cluster
	var rendered strings.Builder
	for _, line := range strings.Split(strings.TrimRight(content, "\n"), "\n") {
		event := strings.TrimSpace(strings.Split(line, "|")[0])
		switch {
		case strings.HasPrefix(line, "#") || event == "":
			fmt.Fprintln(&rendered, line)
			continue
		case c == nil:
			c = newCluster(rand.New(rand.NewPCG(1, 1)), parseIDs(event)...)
		default:
			runEvent(c, strings.Fields(event))
		}
		fmt.Fprintf(&rendered, "%-18s", event)
		for _, n := range c.nodes {
			fmt.Fprintf(&rendered, "| %-26s", c.cell(n))
		}
		fmt.Fprintf(&rendered, "| %s\n", c.now)
	}
	return rendered.String()
}

func parseIDs(event string) []member.ID {
	var ids []member.ID
	for _, field := range strings.Fields(event)[1:] {
		ids = append(ids, member.ID(field))
	}
	return ids
}

func runEvent(c *cluster, words []string) {
	if words[0] == "run" {
		length, err := time.ParseDuration(words[1])
		Expect(err).NotTo(HaveOccurred())
		for end := c.now + length; c.now < end; {
			c.advance()
		}
		return
	}
	if words[0] == "seek" || words[0] == "found" {
		// From "seek" to "found", a won recovery term is not used, as if the state were still
		// missing.
		c.recoveryBlocked = words[0] == "seek"
		return
	}
	if words[0] == "heal" {
		clear(c.blocked)
		return
	}
	ends := strings.Split(words[1], ">")
	if words[0] == "cut" && len(ends) == 2 {
		c.blocked[link{member.ID(ends[0]), member.ID(ends[1])}] = true
		return
	}
	n := c.node(member.ID(words[1]))
	Expect(n).NotTo(BeNil(), "no such node: %v", words)
	runNodeEvent(c, n, words)
}

func runNodeEvent(c *cluster, n *node, words []string) {
	switch words[0] {
	case "propose":
		_, err := n.group.Propose(c.clock(n), []byte(words[2]))
		Expect(err).NotTo(HaveOccurred())
		c.drain(n)
	case "isolate":
		for _, other := range c.nodes {
			c.blocked[link{n.id, other.id}] = true
			c.blocked[link{other.id, n.id}] = true
		}
	case "crash":
		c.crash(n, false)
	case "start":
		c.start(n)
	case "wipe":
		c.wipe(n)
		c.start(n)
	case "replace":
		removed, successor := c.node(member.ID(words[2])), c.node(member.ID(words[3]))
		Expect(n.group.ProposeGroupChange(c.clock(n), replication.GroupChange{
			Kind: replication.ChangeRemoveVoter, Voter: removed.voter(), Successor: successor.voter(),
		})).To(Succeed())
		c.drain(n)
	case "lose":
		c.loseDisk(n)
	case "leave":
		n.left = true
		c.gossip()
	case "end":
		c.end(n)
	case "stall":
		n.stalled = true
	case "release":
		n.stalled = false
		c.release(n)
	case "compact":
		Expect(c.compact(n)).To(Succeed())
	case "transfer":
		Expect(n.group.TransferLeadership(c.clock(n))).To(Succeed())
		c.drain(n)
	default:
		Fail("unknown event " + words[0])
	}
}
