package outbound_test

import (
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

// limitedSender sends requests over a limited number of connections.
type limitedSender interface {
	Send(request *http.Request, body []byte) (*http.Response, error)
	LimitConnections(limit func(address string) int)
	CloseIdle()
}

var _ = Describe("Direct with a connection limit", func() {
	limitsConnections(func() limitedSender { return outbound.NewDirect(outbound.DirectOptions{}) }, closeBody)
})

var _ = Describe("Client with a connection limit", func() {
	// Client keeps the connection only if the response was read to its end.
	limitsConnections(func() limitedSender { return outbound.New(outbound.Options{Name: "bounded"}) }, func(body io.ReadCloser) {
		_, err := io.Copy(io.Discard, body)
		Expect(err).NotTo(HaveOccurred())
		closeBody(body)
	})
})

func closeBody(body io.ReadCloser) { Expect(body.Close()).To(Succeed()) }

// limitsConnections declares the specs of LimitConnections, which both clients must pass. finish
// ends a response such that its connection can be reused.
func limitsConnections(newClient func() limitedSender, finish func(body io.ReadCloser)) {
	var client limitedSender

	BeforeEach(func() {
		client = newClient()
		DeferCleanup(client.CloseIdle)
	})

	// begin sends a request and returns the unread body of its response.
	begin := func(address string) (io.ReadCloser, error) {
		response, err := client.Send(newRequest(http.MethodPost, address), nil)
		if err != nil {
			return nil, err
		}
		return response.Body, nil
	}
	// limitReached checks that the connection limit prevented a request, and returns the limit.
	limitReached := func(err error) int {
		var failed *outbound.Error
		ExpectWithOffset(1, errors.As(err, &failed)).To(BeTrue())
		ExpectWithOffset(1, failed.MayHaveBeenSent).To(BeFalse())
		var atLimit *outbound.ConnectionLimitError
		ExpectWithOffset(1, errors.As(err, &atLimit)).To(BeTrue())
		return atLimit.Limit
	}
	respondToAll := func(_ int, connection *scriptedConnection) {
		for connection.next() != nil {
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}

	It("opens no more connections than the limit, and sends nothing when all are in use", func() {
		server := serveScript(respondToAll)
		address := server.listener.Addr().String()
		client.LimitConnections(func(string) int { return 2 })
		first, err := begin(address)
		Expect(err).NotTo(HaveOccurred())
		second, err := begin(address)
		Expect(err).NotTo(HaveOccurred())
		_, err = begin(address)
		Expect(limitReached(err)).To(Equal(2))
		Expect(server.accepted.Load()).To(Equal(int32(2)))

		By("reusing an idle connection, and replacing a closed one")
		finish(first)
		third, err := begin(address)
		Expect(err).NotTo(HaveOccurred())
		finish(second)
		client.CloseIdle()
		fourth, err := begin(address)
		Expect(err).NotTo(HaveOccurred())
		_, err = begin(address)
		Expect(limitReached(err)).To(Equal(2))
		finish(third)
		finish(fourth)
	})

	It("applies the limit to each back end separately, and none to a back end without a limit", func() {
		limited, unlimited := serveScript(respondToAll), serveScript(respondToAll)
		client.LimitConnections(func(address string) int {
			if address == limited.listener.Addr().String() {
				return 1
			}
			return 0
		})
		for range 5 {
			body, err := begin(unlimited.listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = body.Close() }()
		}
		body, err := begin(limited.listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = body.Close() }()
		_, err = begin(limited.listener.Addr().String())
		Expect(limitReached(err)).To(Equal(1))
	})

	It("does not count connections that failed to open or were reset", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		breaking := serveScript(func(_ int, connection *scriptedConnection) {
			connection.next()
			connection.reset()
		})
		client.LimitConnections(func(string) int { return 1 })
		for _, address := range []string{closed, breaking.listener.Addr().String()} {
			for range 3 {
				_, err := begin(address)
				Expect(err).To(HaveOccurred())
				var atLimit *outbound.ConnectionLimitError
				Expect(errors.As(err, &atLimit)).To(BeFalse(), "%v", err)
			}
		}
	})
}
