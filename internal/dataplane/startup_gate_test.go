package dataplane_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
)

// unresponsiveReports is a dataplane.ReportReader that gets no response.
type unresponsiveReports struct{}

func (unresponsiveReports) Read(ctx context.Context, _ string, _ uint64, _ time.Duration) (dataplane.ReportPage, error) {
	<-ctx.Done()
	return dataplane.ReportPage{}, ctx.Err()
}

func (unresponsiveReports) List(ctx context.Context, _ string) (dataplane.ReportPage, error) {
	<-ctx.Done()
	return dataplane.ReportPage{}, ctx.Err()
}

var _ = Describe("A node that has just started", func() {
	It("sends no prompt until it knows the cached chunks of the replicas", func() {
		backend := newReplica(respondWith("done"))
		f := newFixtureWith(func(options *dataplane.Options) { options.Edges.Reports = unresponsiveReports{} }, backend.address())
		f.timeout = 50
		f.publish()
		Expect(f.generate().status).NotTo(Equal(http.StatusOK))
		Expect(backend.requests()).To(BeEmpty())

		f.server.ApplyUpdate(gossip.Update{Node: "other", Reports: []gossip.Report{
			{Address: backend.address(), Feed: cachefeed.Position{Incarnation: 1, Next: 1}, Complete: true},
		}})
		f.timeout = 10000
		f.publish()
		Expect(f.generate().status).To(Equal(http.StatusOK))
		Expect(backend.requests()).To(HaveLen(1))
	})
})
