package requestrecorder

import (
	"context"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/exchange"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

var _ = Describe("The record of a request", func() {
	DescribeTable("contains the outcome of the request", func(observer exchange.Observer, failed, disconnected bool, expected recording.Outcome) {
		ctx, cancel := context.WithCancel(context.Background())
		if disconnected {
			cancel()
		}
		defer cancel()
		e := &exchange.Exchange{Request: httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), Observer: &observer, Failed: failed}
		Expect(outcomeOf(e)).To(Equal(expected))
	},
		Entry("completed", exchange.Observer{Status: 200}, false, false, recording.Completed),
		Entry("completed, and the caller disconnects after the last byte", exchange.Observer{Status: 200}, false, true, recording.Completed),
		Entry("refused", exchange.Observer{Status: 503, ErrorKind: caller.KindNoBackend}, true, false, recording.Refused),
		Entry("truncated", exchange.Observer{Status: 200}, true, false, recording.Truncated),
		Entry("disconnected during the response", exchange.Observer{Status: 200}, true, true, recording.Disconnected),
		Entry("disconnected before the response", exchange.Observer{}, true, true, recording.Disconnected))
})
