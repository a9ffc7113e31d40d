package webservice_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/webservice"
)

const maxBufferedBytes = 16

// forward sends a request to a scripted back end.
func forward(script http.HandlerFunc) (*webservice.Response, error) {
	server := httptest.NewServer(script)
	DeferCleanup(server.Close)
	sender := outbound.New(outbound.Options{Name: "test"})
	DeferCleanup(sender.CloseIdle)
	return webservice.NewClient(sender, maxBufferedBytes).Forward(context.Background(), webservice.Call{
		Address: server.Listener.Addr().String(), Request: httptest.NewRequest(http.MethodGet, "/page", nil), AttemptID: "a-1",
	})
}

// refuseNotRun returns a handler that rejects a request, guarantees not to run it, and names an
// attempt.
func refuseNotRun(attempt string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(webservice.HeaderAttemptID, attempt)
		writer.Header().Set(webservice.HeaderNotRun, "true")
		writer.Header().Set("Retry-After", "2")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

var _ = Describe("Client", func() {
	It("accepts a guarantee not to run only if it names the attempt", func() {
		_, err := forward(refuseNotRun("a-1"))
		Expect(err).To(Equal(&outbound.RefusedError{Status: http.StatusServiceUnavailable, RetryAfter: 2 * time.Second}))
		_, err = forward(refuseNotRun("a-2"))
		Expect(err).To(BeAssignableToTypeOf(&outbound.InvalidResponseError{}))
		answer, err := forward(refuseNotRun(""))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status()).To(Equal(http.StatusServiceUnavailable))
	})

	It("returns a response in pieces if it is too long to be buffered", func() {
		long := strings.Repeat("x", 3*maxBufferedBytes)
		answer, err := forward(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, long) })
		Expect(err).NotTo(HaveOccurred())
		first, complete, err := answer.ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(complete).To(BeFalse())
		text := string(first)
		for err == nil {
			var chunk []byte
			chunk, err = answer.Next()
			text += string(chunk)
		}
		Expect(err).To(BeIdenticalTo(io.EOF))
		Expect(text).To(Equal(long))
	})

	DescribeTable("rejects a response", func(raw string) {
		answer, err := forward(func(writer http.ResponseWriter, _ *http.Request) {
			connection, _, err := writer.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(connection, raw)
				_ = connection.Close()
			}
		})
		Expect(err).NotTo(HaveOccurred())
		_, _, err = answer.ReadAll()
		Expect(err).To(BeAssignableToTypeOf(&outbound.InvalidResponseError{}))
	},
		Entry("that is truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npage"),
		Entry("that is truncated between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npage\r\n"),
		Entry("that does not mark its end", "HTTP/1.1 200 OK\r\n\r\npage"),
	)
})
