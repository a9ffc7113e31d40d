package dataplane_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

var _ = Describe("The limits on callers", func() {
	const bound = 4096

	// limited starts a node whose configuration limits the requests of callers.
	limited := func(limits *ridgeswitchv1.CallerLimits) (*fixture, *fakeReplica) {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.source.View().Configuration = &ridgeswitchv1.Configuration{CallerLimits: limits}
		return f, backend
	}
	filler := func(bytes int) header { return header{"X-Filler", strings.Repeat("x", bytes)} }

	It("refuse a request whose header exceeds the configured limit, and nothing is sent", func() {
		f, backend := limited(&ridgeswitchv1.CallerLimits{MaxHeaderBytes: bound})
		got := f.generate(filler(bound))
		Expect(got.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(got.problem.Kind).To(Equal(caller.KindHeaderTooLarge))
		Expect(got.problem.MayHaveRun).To(BeFalse())
		Expect(backend.requests()).To(BeEmpty())
		Expect(f.generate(filler(bound / 2)).status).To(Equal(http.StatusOK))
	})

	It("leave the limit of headers to the listener if the configuration has none", func() {
		f, _ := limited(nil)
		Expect(f.generate(filler(bound)).status).To(Equal(http.StatusOK))
	})

	It("refuse a request whose body exceeds the configured limit", func() {
		f, backend := limited(&ridgeswitchv1.CallerLimits{MaxBodyBytes: uint64(len(defaultBody)) - 1})
		got := f.generate()
		Expect(got.problem.Kind).To(Equal(caller.KindBodyTooLarge))
		Expect(backend.requests()).To(BeEmpty())
	})
})
