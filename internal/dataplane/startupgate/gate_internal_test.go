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
		u        *Gate
		complete map[string]bool
		whole    = func(address string) bool { return complete[address] }
	)
	BeforeEach(func() {
		u = New()
		complete = make(map[string]bool)
	})

	It("opens when the cached chunks of three quarters of the replicas are known", func() {
		view := listing("a", "b", "c", "d")
		u.Update(time.Hour, view, whole)
		complete["a"], complete["b"] = true, true
		u.Update(time.Hour, view, whole)
		Expect(u.opened).NotTo(BeClosed())
		complete["c"] = true
		u.Update(time.Hour, view, whole)
		Expect(u.opened).To(BeClosed())
	})

	It("opens after maxWait, which starts with the first view that has pools", func() {
		u.Update(time.Minute, nil, whole)
		u.Update(time.Minute, &routing.View{}, whole)
		u.Update(time.Hour, listing(), whole)
		u.Update(time.Hour+maxWait-1, listing("a"), whole)
		Expect(u.opened).NotTo(BeClosed())
		u.Update(time.Hour+maxWait, listing("a"), whole)
		Expect(u.opened).To(BeClosed())
	})

	It("does not close again", func() {
		complete["a"] = true
		u.Update(0, listing("a"), whole)
		u.Update(time.Hour, listing("b", "c"), whole)
		Expect(u.opened).To(BeClosed())
	})
})
