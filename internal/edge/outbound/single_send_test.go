package outbound_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// clientUnderTest is a sender whose idle connections can be closed.
type clientUnderTest interface {
	sender
	CloseIdle()
}

// reuseAttempts bounds the attempts to get a connection reused. net/http does not keep a
// connection whose writing goroutine got no processor time for 50 ms.
const reuseAttempts = 10

// sendsOnce declares the specs of a client that never sends a request twice by itself, and
// reports whether a failed request may have been sent.
func sendsOnce(client func() clientUnderTest) {
	// closeDuringRequest sends two requests to a back end that closes the first connection after
	// cut bytes of the second request. If cut is positive, it returns whether the second request
	// used that connection: a client that got no processor time to keep it opens another one.
	closeDuringRequest := func(method string, body []byte, cut int) (kept bool) {
		backend := newRawBackend(cut, len(fullResponse))
		address := backend.listener.Addr().String()
		Expect(exchangeOnce(client(), method, address, body)).To(Succeed())
		err := exchangeOnce(client(), method, address, body)
		client().CloseIdle()
		backend.stop()

		Expect(backend.started.Load()).To(BeNumerically("<=", 1), "connection closed after %d bytes", cut)
		var failed *outbound.Error
		switch {
		case err == nil:
			Expect(backend.complete.Load()).To(Equal(int32(1)), "connection closed after %d bytes", cut)
		case errors.As(err, &failed) && !failed.MayHaveBeenSent:
			Expect(backend.started.Load()).To(BeZero(), "connection closed after %d bytes", cut)
		}
		if cut == 0 {
			return true
		}
		if err == nil && backend.accepted.Load() > 1 {
			return false
		}
		Expect(failed).NotTo(BeNil(), "connection closed after %d bytes", cut)
		Expect(failed.MayHaveBeenSent).To(BeTrue(), "connection closed after %d bytes", cut)
		return true
	}

	DescribeTable("sends a request at most once, wherever in the request the connection ends", func(method string, body []byte) {
		for cut := range requestBytes(method, body) + 1 {
			kept := false
			for try := 0; try < reuseAttempts && !kept; try++ {
				kept = closeDuringRequest(method, body, cut)
			}
			Expect(kept).To(BeTrue(), "no connection was kept, connection closed after %d bytes", cut)
		}
	},
		Entry("with a body", http.MethodPost, []byte("prompt")),
		Entry("with an empty body", http.MethodPost, []byte(nil)),
		Entry("without a body", http.MethodGet, []byte(nil)),
	)

	DescribeTable("sends a request once, wherever in the response the connection ends", func(method string) {
		for cut := range len(fullResponse) + 1 {
			backend := newRawBackend(-1, cut)
			address := backend.listener.Addr().String()
			Expect(exchangeOnce(client(), method, address, nil)).To(Succeed())
			err := exchangeOnce(client(), method, address, nil)
			client().CloseIdle()
			backend.stop()
			Expect(backend.complete.Load()).To(Equal(int32(1)), "connection closed after %d bytes", cut)
			if cut < len(fullResponse) {
				Expect(err).To(HaveOccurred(), "connection closed after %d bytes", cut)
			} else {
				Expect(err).NotTo(HaveOccurred())
			}
		}
	}, Entry("for POST", http.MethodPost), Entry("for GET", http.MethodGet))
}
