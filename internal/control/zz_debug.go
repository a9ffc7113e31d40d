package control

import (
	"fmt"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

func (m *Machine) Debug() {
	for _, id := range m.shardIDs {
		h := m.shards[id]
		if h == nil {
			continue
		}
		st := h.group.Status()
		fmt.Printf("  shard %d role %v owner %s epoch %d commit %d applied %d last %d saving %v settled %v groupF %+v now %v may %v\n", id, st.Role, st.Owner, st.Epoch, st.Commit, st.Applied, st.LastIndex, h.saving, h.settled(), st.Followers, m.now, h.group.MayCommand(m.now))
		if h.owned() {
			for _, n := range h.state.Nodes() {
				row := m.confirmed.rows[confirmationKey{shard: id, node: member.ID(n.GetNode())}]
				cur, k := m.members.Incarnation(member.ID(n.GetNode()))
				fmt.Printf("     node %s inc %d row %+v member inc %d %v fenced %v\n", n.GetNode(), n.GetIncarnation(), row, cur, k, m.members.CertainlyFenced(member.ID(n.GetNode())))
			}
			if s, ok := h.state.(*serviceShard); ok {
				for _, r := range s.replicas() {
					fmt.Printf("     row %v report %+v\n", r, m.backends.reports[r.GetAddress()])
				}
				fmt.Println("    rev", s.Revision(), "drainedSince", h.rollout.drainedSince, "next", h.rollout.nextCommand, "proposals", len(h.proposals))
			}
		}
	}
	fmt.Printf("  listed %v held %v reg ", m.backends.services, m.held.revisions)
	for id, r := range m.registry.shards {
		fmt.Printf(" %d:%+v", id, *r)
	}
	fmt.Println("self inc", m.selfIncarnation())
}
