package dataplane

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

var _ = Describe("warmUp", func() {
	listing := func(addresses ...string) *routing.View {
		pool := &routing.Pool{}
		for _, address := range addresses {
			pool.Replicas = append(pool.Replicas, routing.Replica{Address: address})
		}
		return &routing.View{Pools: map[string]*routing.Pool{"pool": pool}}
	}
	var (
		u     *warmUp
		known map[string]bool
		whole = func(address string) bool { return known[address] }
	)
	BeforeEach(func() {
		u = newWarmUp()
		known = make(map[string]bool)
	})

	It("holds prompts back until it is known what most replicas keep", func() {
		view := listing("a", "b", "c", "d")
		u.look(time.Hour, view, whole)
		known["a"], known["b"] = true, true
		u.look(time.Hour, view, whole)
		Expect(u.ended).NotTo(BeClosed())
		known["c"] = true
		u.look(time.Hour, view, whole)
		Expect(u.ended).To(BeClosed())
	})

	It("ends after its longest time, which begins with the first pools", func() {
		u.look(time.Minute, nil, whole)
		u.look(time.Minute, &routing.View{}, whole)
		u.look(time.Hour, listing(), whole)
		u.look(time.Hour+longestWarmUp-1, listing("a"), whole)
		Expect(u.ended).NotTo(BeClosed())
		u.look(time.Hour+longestWarmUp, listing("a"), whole)
		Expect(u.ended).To(BeClosed())
	})

	It("does not begin anew", func() {
		known["a"] = true
		u.look(0, listing("a"), whole)
		u.look(time.Hour, listing("b", "c"), whole)
		Expect(u.ended).To(BeClosed())
	})
})
