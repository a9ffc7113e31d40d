package dynamic

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// registry contains the nodes that an acknowledgement waits for, each with its newest
// registered incarnation.
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

// register adds an incarnation of a node. An incarnation older than the registered one
// changes nothing.
func (r *registry) register(node *controlpb.RegisterNode) {
	r.incarnations[node.GetNode()] = max(r.incarnations[node.GetNode()], node.GetIncarnation())
}

// forget removes a node if its registered incarnation is the given one or an older one. A
// newer incarnation that has registered since remains.
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
