package outbound_test

import (
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

var _ = Describe("Client", func() {
	var client *outbound.Client

	BeforeEach(func() {
		client = outbound.New(outbound.Options{Name: "test"})
		DeferCleanup(client.CloseIdle)
	})

	sendsOnce(func() clientUnderTest { return client })

	It("is needed because a plain http.Client retries a request by itself", func() {
		plain := &http.Client{Transport: &http.Transport{}}
		backend := newRawBackend(10, len(fullResponse))
		address := backend.listener.Addr().String()
		for range 2 {
			response, err := plain.Do(newRequest(http.MethodGet, address))
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		plain.CloseIdleConnections()
		backend.stop()
		Expect(backend.started.Load()).To(Equal(int32(2)))
	})

	It("reports that nothing was sent when the connection is refused", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		err = exchangeOnce(client, http.MethodPost, address, []byte("prompt"))
		var failed *outbound.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.MayHaveBeenSent).To(BeFalse())
	})

	DescribeTable("does not follow a redirect, which would send the request a second time", func(status int) {
		target := newRawBackend(-1, len(fullResponse))
		server := serveScript(func(_ int, connection *scriptedConnection) {
			connection.next()
			connection.write("HTTP/1.1 %d Again\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", status, target.listener.Addr())
		})
		response, err := client.Send(newRequest(http.MethodPost, server.listener.Addr().String()), []byte("prompt"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(status))
		_ = response.Body.Close()
		target.stop()
		Expect(target.accepted.Load()).To(BeZero())
	}, Entry("with the same method", http.StatusTemporaryRedirect), Entry("with GET", http.StatusSeeOther))

	It("does not reuse the connection of a response that was not read to its end", func() {
		long := strings.Repeat("x", 1<<20)
		server := serveScript(func(_ int, connection *scriptedConnection) {
			for connection.next() != nil {
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
			}
		})
		for range 2 {
			response, err := client.Send(newRequest(http.MethodPost, server.listener.Addr().String()), []byte("prompt"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(response.Body, make([]byte, 10))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
		}
		Expect(server.accepted.Load()).To(Equal(int32(2)))
	})
})
