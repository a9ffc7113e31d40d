package dataplane

import (
	"context"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

var _ = Describe("The record of a request", func() {
	DescribeTable("says how a request has ended", func(watch responseObserver, failed, gone bool, expected recording.Outcome) {
		ctx, cancel := context.WithCancel(context.Background())
		if gone {
			cancel()
		}
		defer cancel()
		e := &exchange{request: httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), observer: &watch, failed: failed}
		Expect(e.outcome()).To(Equal(expected))
	},
		Entry("answered", responseObserver{status: 200}, false, false, recording.Completed),
		Entry("answered to a caller that hangs up after the last byte", responseObserver{status: 200}, false, true, recording.Completed),
		Entry("refused", responseObserver{status: 503, errorKind: caller.KindNoBackend}, true, false, recording.Refused),
		Entry("cut", responseObserver{status: 200}, true, false, recording.Truncated),
		Entry("disconnected during the response", responseObserver{status: 200}, true, true, recording.Disconnected),
		Entry("disconnected before it", responseObserver{}, true, true, recording.Disconnected))
})
