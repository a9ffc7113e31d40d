package replication_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// check verifies the invariants that hold at every instant: a term only ever has one leader,
// at most one member has the command lease, and a permanent learner never leads.
func (c *cluster) check() {
	var holders []member.ID
	for _, n := range c.nodes {
		if n.group == nil {
			continue
		}
		status := n.group.Status()
		if status.Role == replication.RoleLeader {
			if n.learner {
				Fail("a permanent learner became the leader")
			}
			if leader, known := c.leaders[status.Term]; known && leader != n.voter() {
				Expect(n.voter()).To(Equal(leader), "term %d has two leaders", status.Term)
			}
			c.leaders[status.Term] = n.voter()
		}
		n.slots = status.Slots
		if n.group.HasCommandLease(c.clock(n)) {
			holders = append(holders, n.id)
		}
	}
	if len(holders) > 1 {
		Fail(fmt.Sprintf("more than one member has the command lease: %v", holders))
	}
}

// cell renders a node: role, term, commit/last, and flags. A group other than the founding
// one is shown as v, the number of voters, @ and the index of the change.
func (c *cluster) cell(n *node) string {
	if n.group == nil {
		return "down"
	}
	status := n.group.Status()
	cell := fmt.Sprintf("%s t%d %d/%d", status.Role, status.Term, status.Commit, status.LastIndex)
	if status.SnapshotIndex > 0 {
		cell += fmt.Sprintf(" s%d", status.SnapshotIndex)
	}
	if n.group.HasCommandLease(c.clock(n)) {
		cell += " lease"
	}
	if !slices.Equal(status.Slots, founderSlots(c.config.Founders...)) {
		cell += fmt.Sprintf(" v%d@%d", len(status.Voters), status.ChangeIndex)
	}
	return cell
}
