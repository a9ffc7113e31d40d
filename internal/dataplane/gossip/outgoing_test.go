package gossip_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

var _ = Describe("OutgoingUpdates", func() {
	const largePrompt, prompts = 4096, 1000
	It("bounds the chunks that wait, not only the requests that name them", func() {
		updates := gossip.NewOutgoingUpdates()
		dispatch := gossip.Dispatch{Address: "10.0.0.1:1", Links: make([]prefixindex.Link, largePrompt)}
		for range prompts {
			updates.AddDispatch(dispatch)
		}
		drained := updates.Drain(0, nil)
		Expect(len(drained.Dispatches)).To(BeNumerically(">", 1))
		Expect(len(drained.Dispatches) * largePrompt).To(BeNumerically("<=", 1<<15))
		updates.AddDispatch(dispatch)
		Expect(updates.Drain(0, nil).Dispatches).To(HaveLen(1))
	})
	It("keeps as many ordinary prompts as before", func() {
		updates := gossip.NewOutgoingUpdates()
		for range prompts {
			updates.AddDispatch(gossip.Dispatch{Address: "10.0.0.1:1", Links: make([]prefixindex.Link, 8)})
		}
		Expect(updates.Drain(0, nil).Dispatches).To(HaveLen(prompts))
	})
})
