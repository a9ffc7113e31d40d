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

// reuseAttempts bounds the tries to have a connection kept. The HTTP library keeps
// none whose writing goroutine got no processor time for 50 ms.
const reuseAttempts = 10

// sendsOnce declares the specs of a client that never sends a request twice by
// itself, and says so when one may have left.
func sendsOnce(client func() clientUnderTest) {
	// closeDuringRequest sends a second request on a connection that is cut after some of its
	// bytes. Kept reports whether it went out on that connection at all: a client that
	// got no processor time to keep it has opened another one.
	closeDuringRequest := func(method string, body []byte, cut int) (kept bool) {
		backend := newRawBackend(cut, len(fullResponse))
		address := backend.listener.Addr().String()
		Expect(exchangeOnce(client(), method, address, body)).To(Succeed())
		err := exchangeOnce(client(), method, address, body)
		client().CloseIdle()
		backend.stop()

		Expect(backend.started.Load()).To(BeNumerically("<=", 1), "cut after %d bytes", cut)
		var failed *outbound.Error
		switch {
		case err == nil:
			Expect(backend.complete.Load()).To(Equal(int32(1)), "cut after %d bytes", cut)
		case errors.As(err, &failed) && !failed.MayHaveBeenSent:
			Expect(backend.started.Load()).To(BeZero(), "cut after %d bytes", cut)
		}
		if cut == 0 {
			return true
		}
		if err == nil && backend.accepted.Load() > 1 {
			return false
		}
		Expect(failed).NotTo(BeNil(), "cut after %d bytes", cut)
		Expect(failed.MayHaveBeenSent).To(BeTrue(), "cut after %d bytes", cut)
		return true
	}

	DescribeTable("sends once at most, wherever the connection ends in the request", func(method string, body []byte) {
		for cut := range requestBytes(method, body) + 1 {
			kept := false
			for try := 0; try < reuseAttempts && !kept; try++ {
				kept = closeDuringRequest(method, body, cut)
			}
			Expect(kept).To(BeTrue(), "no connection was kept, cut after %d bytes", cut)
		}
	},
		Entry("with a body", http.MethodPost, []byte("prompt")),
		Entry("with an empty body", http.MethodPost, []byte(nil)),
		Entry("without a body", http.MethodGet, []byte(nil)),
	)

	DescribeTable("sends once, wherever the connection ends in the response", func(method string) {
		for cut := range len(fullResponse) + 1 {
			backend := newRawBackend(-1, cut)
			address := backend.listener.Addr().String()
			Expect(exchangeOnce(client(), method, address, nil)).To(Succeed())
			err := exchangeOnce(client(), method, address, nil)
			client().CloseIdle()
			backend.stop()
			Expect(backend.complete.Load()).To(Equal(int32(1)), "cut after %d bytes", cut)
			if cut < len(fullResponse) {
				Expect(err).To(HaveOccurred(), "cut after %d bytes", cut)
			} else {
				Expect(err).NotTo(HaveOccurred())
			}
		}
	}, Entry("for POST", http.MethodPost), Entry("for GET", http.MethodGet))
}
