package dynamic

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// registry is the set of nodes that an acknowledgement waits for, each with the
// newest incarnation that registered.
type registry struct {
	incarnations map[string]uint64
}

func newRegistry(nodes []*controlpb.RegisterNode) *registry {
	r := &registry{incarnations: make(map[string]uint64, len(nodes))}
	for _, node := range nodes {
		r.register(node)
	}
	return r
}

// register adds a node. An older incarnation than the registered one changes nothing.
func (r *registry) register(node *controlpb.RegisterNode) {
	r.incarnations[node.GetNode()] = max(r.incarnations[node.GetNode()], node.GetIncarnation())
}

// forget ends the registration of an incarnation and of those before it. A
// newer incarnation that has registered since stays.
func (r *registry) forget(node *controlpb.ForgetNode) {
	if r.incarnations[node.GetNode()] <= node.GetIncarnation() {
		delete(r.incarnations, node.GetNode())
	}
}

// nodes returns the registered nodes, sorted by name.
func (r *registry) nodes() []*controlpb.RegisterNode {
	nodes := lo.MapToSlice(r.incarnations, func(name string, incarnation uint64) *controlpb.RegisterNode {
		return &controlpb.RegisterNode{Node: name, Incarnation: incarnation}
	})
	slices.SortFunc(nodes, func(a, b *controlpb.RegisterNode) int {
		return cmp.Compare(a.GetNode(), b.GetNode())
	})
	return nodes
}
