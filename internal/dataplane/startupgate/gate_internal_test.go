package startupgate

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

var _ = Describe("Gate", func() {
	listing := func(addresses ...string) *routing.View {
		pool := &routing.Pool{}
		for _, address := range addresses {
			pool.Replicas = append(pool.Replicas, routing.Replica{Address: address})
		}
		return &routing.View{Pools: map[string]*routing.Pool{"pool": pool}}
	}
	var (
		gate           *Gate
		complete       map[string]bool
		chunksComplete = func(address string) bool { return complete[address] }
	)
	BeforeEach(func() {
		gate = New()
		complete = make(map[string]bool)
	})

	It("opens when the cached chunks of three quarters of the replicas are known", func() {
		view := listing("a", "b", "c", "d")
		gate.Update(time.Hour, view, chunksComplete)
		complete["a"], complete["b"] = true, true
		gate.Update(time.Hour, view, chunksComplete)
		Expect(gate.opened).NotTo(BeClosed())
		complete["c"] = true
		gate.Update(time.Hour, view, chunksComplete)
		Expect(gate.opened).To(BeClosed())
	})

	It("opens after maxWait, which starts with the first view that has pools", func() {
		gate.Update(time.Minute, nil, chunksComplete)
		gate.Update(time.Minute, &routing.View{}, chunksComplete)
		gate.Update(time.Hour, listing(), chunksComplete)
		gate.Update(time.Hour+maxWait-1, listing("a"), chunksComplete)
		Expect(gate.opened).NotTo(BeClosed())
		gate.Update(time.Hour+maxWait, listing("a"), chunksComplete)
		Expect(gate.opened).To(BeClosed())
	})

	It("does not close again", func() {
		complete["a"] = true
		gate.Update(0, listing("a"), chunksComplete)
		gate.Update(time.Hour, listing("b", "c"), chunksComplete)
		Expect(gate.opened).To(BeClosed())
	})
})
