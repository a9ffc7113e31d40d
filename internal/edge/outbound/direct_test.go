package outbound_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

var _ = Describe("Direct", func() {
	var client *outbound.Direct

	sameID := func(request *http.Request, response *http.Response) bool {
		return request.Header.Get("Id") == response.Header.Get("Id")
	}

	// replaceClient replaces the client.
	replaceClient := func(options outbound.DirectOptions) {
		client = outbound.NewDirect(options)
		DeferCleanup(client.CloseIdle)
	}

	// send sends a request with an ID and returns the body of its response.
	send := func(server *scriptedBackend, id string, body []byte) (string, error) {
		request := newRequest(http.MethodPost, server.listener.Addr().String())
		request.Header.Set("Id", id)
		response, err := client.Send(request, body)
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return string(text), err
	}

	BeforeEach(func() { replaceClient(outbound.DirectOptions{}) })

	sendsOnce(func() clientUnderTest { return client })

	It("sends nothing after the time that WithSendBy has set, but waits longer for a response", func() {
		server := serveScript(func(_ int, connection *scriptedConnection) {
			connection.next()
			time.Sleep(50 * time.Millisecond)
			connection.write("%s", fullResponse)
		})
		sendBy := func(at time.Time) error {
			request := newRequest(http.MethodPost, server.listener.Addr().String())
			response, err := client.Send(request.WithContext(outbound.WithSendBy(request.Context(), at)), nil)
			if err == nil {
				_ = response.Body.Close()
			}
			return err
		}
		Expect(sendBy(time.Now().Add(30 * time.Millisecond))).To(Succeed())
		err := sendBy(time.Now().Add(-time.Millisecond))
		Expect(err).To(MatchError(outbound.ErrTooLate))
		var unsent *outbound.Error
		Expect(errors.As(err, &unsent)).To(BeTrue())
		Expect(unsent.MayHaveBeenSent).To(BeFalse())
	})

	It("writes method, path, query, host, headers and body as given", func() {
		received := make(chan *http.Request, 1)
		server := serveScript(func(_ int, connection *scriptedConnection) {
			received <- connection.next()
			connection.write("%s", fullResponse)
		})
		request := newRequest(http.MethodPut, server.listener.Addr().String())
		request.URL.Opaque, request.URL.RawQuery = "/a%2fb/{c}/../d", "x=%zz&&y"
		request.Host = "host.example"
		request.Header = http.Header{"Twice": {"one", "two"}, "Idempotency-Key": {"same"}}
		response, err := client.Send(request, []byte("text"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		seen := <-received
		Expect(seen.Method).To(Equal(http.MethodPut))
		Expect(seen.RequestURI).To(Equal("/a%2fb/{c}/../d?x=%zz&&y"))
		Expect(seen.Host).To(Equal("host.example"))
		Expect(seen.Header).To(Equal(http.Header{"Twice": {"one", "two"}, "Idempotency-Key": {"same"}, "Content-Length": {"4"}}))
		Expect(io.ReadAll(seen.Body)).To(Equal([]byte("text")))
	})

	It("reuses a connection", func() {
		server := serveScript(func(_ int, connection *scriptedConnection) {
			for connection.next() != nil {
				connection.write("%s", fullResponse)
			}
		})
		for range 3 {
			Expect(send(server, "", nil)).To(Equal("hello"))
		}
		Expect(server.accepted.Load()).To(Equal(int32(1)))
	})

	DescribeTable("does not reuse a connection", func(answer string) {
		server := serveScript(func(_ int, connection *scriptedConnection) {
			for connection.next() != nil {
				connection.write("%s", answer)
			}
		})
		for range 2 {
			Expect(send(server, "", nil)).To(Equal("hello"))
		}
		Expect(server.accepted.Load()).To(Equal(int32(2)))
	},
		Entry("that the back end says it will close", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello"),
		Entry("with a keep-alive time-out of 0", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=0, max=9\r\n\r\nhello"),
		Entry("on which another response follows the response", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"+fullResponse),
		Entry("on which bytes follow the response", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello!"),
		Entry("on which bytes follow the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nx"),
	)

	It("does not reuse a connection that has received bytes while it was idle", func() {
		written := make(chan struct{})
		server := serveScript(func(number int, connection *scriptedConnection) {
			connection.next()
			connection.write("%s", fullResponse)
			if number == 1 {
				<-written
				connection.write("%s", fullResponse)
				written <- struct{}{}
			}
			connection.next()
		})
		Expect(send(server, "", nil)).To(Equal("hello"))
		written <- struct{}{}
		<-written
		Expect(send(server, "", nil)).To(Equal("hello"))
		Expect(server.accepted.Load()).To(Equal(int32(2)))
	})

	It("does not reuse an idle connection that the back end has closed", func() {
		closed := make(chan struct{})
		server := serveScript(func(_ int, connection *scriptedConnection) {
			connection.next()
			connection.write("%s", fullResponse)
			_ = connection.Close()
			closed <- struct{}{}
		})
		for range 3 {
			Expect(send(server, "", nil)).To(Equal("hello"))
			<-closed
		}
		Expect(server.accepted.Load()).To(Equal(int32(3)))
	})

	It("discards a late response to an earlier request", func() {
		replaceClient(outbound.DirectOptions{Matches: sameID})
		server := serveScript(func(number int, connection *scriptedConnection) {
			for request := connection.next(); request != nil; request = connection.next() {
				id := request.Header.Get("Id")
				if id == "second" {
					connection.write("%s", responseTo("first"))
				}
				connection.write("%s", responseTo(id))
			}
		})
		for _, id := range []string{"first", "second", "third"} {
			Expect(send(server, id, nil)).To(Equal(id))
		}
		Expect(server.accepted.Load()).To(Equal(int32(2)), "a connection that delivered a surplus response must not be reused")
	})

	It("returns an error when only responses to other requests arrive", func() {
		replaceClient(outbound.DirectOptions{Matches: sameID})
		server := serveScript(func(_ int, connection *scriptedConnection) {
			connection.next()
			connection.write("%s%s%s", responseTo("a"), responseTo("b"), responseTo("c"))
			connection.next()
		})
		_, err := send(server, "mine", nil)
		var failed *outbound.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.MayHaveBeenSent).To(BeTrue())
	})

	DescribeTable("returns an error for bytes that are not a response", func(bytes string) {
		server := serveScript(func(_ int, connection *scriptedConnection) {
			connection.next()
			connection.write("%s", bytes)
		})
		_, err := send(server, "", nil)
		var failed *outbound.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.MayHaveBeenSent).To(BeTrue())
	},
		Entry("no bytes", ""),
		Entry("garbage", "\x16\x03\x01 no answer at all\r\n\r\n"),
		Entry("a truncated head", "HTTP/1.1 200 OK\r\nContent-Le"),
		Entry("a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n"),
		Entry("a head above the size limit", "HTTP/1.1 200 OK\r\nA: "+string(bytes.Repeat([]byte("x"), 300<<10))+"\r\n\r\n"),
	)

	It("skips interim responses", func() {
		server := serveScript(func(_ int, connection *scriptedConnection) {
			connection.next()
			connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n%s", fullResponse)
		})
		Expect(send(server, "", nil)).To(Equal("hello"))
	})

	It("accepts an early response to a long body, and does not reuse a connection with a partly written body", func() {
		server := serveScript(func(_ int, connection *scriptedConnection) {
			_, _ = connection.reader.ReadString('\n')
			connection.write("%s", fullResponse)
			// The rest of the body cannot be written before the client closes the connection.
			_, _ = connection.reader.Discard(1 << 10)
			_, _ = io.Copy(io.Discard, connection.reader)
		})
		long := bytes.Repeat([]byte("x"), 64<<20)
		for range 2 {
			Expect(send(server, "", long)).To(Equal("hello"))
		}
		Expect(server.accepted.Load()).To(Equal(int32(2)))
	})

	It("writes a long body completely", func() {
		long := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		server := serveScript(func(_ int, connection *scriptedConnection) {
			for request := connection.next(); request != nil; request = connection.next() {
				body, _ := io.ReadAll(request.Body)
				connection.write("%s", responseTo(fmt.Sprint(bytes.Equal(body, long))))
			}
		})
		for range 2 {
			Expect(send(server, "", long)).To(Equal("true"))
		}
	})

	It("accepts a response without a length as complete only if its connection ends cleanly", func() {
		server := serveScript(func(number int, connection *scriptedConnection) {
			connection.next()
			connection.write("HTTP/1.1 200 OK\r\n\r\nhello")
			if number == 2 {
				connection.reset()
			}
		})
		Expect(send(server, "", nil)).To(Equal("hello"))
		_, err := send(server, "", nil)
		Expect(err).To(HaveOccurred())
	})

	It("closes the connection when the request's context ends", func() {
		disconnected := make(chan error, 1)
		server := serveScript(func(_ int, connection *scriptedConnection) {
			connection.next()
			connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
			_, err := connection.reader.ReadByte()
			disconnected <- err
		})
		ctx, cancel := context.WithCancel(context.Background())
		request := newRequest(http.MethodPost, server.listener.Addr().String()).WithContext(ctx)
		response, err := client.Send(request, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadFull(response.Body, make([]byte, 5))).To(Equal(5))
		cancel()
		Eventually(disconnected, testTimeout).Should(Receive(HaveOccurred()))
		_, err = response.Body.Read(make([]byte, 1))
		Expect(err).To(And(HaveOccurred(), Not(Equal(io.EOF))))
		Expect(response.Body.Close()).To(Succeed())
	})

	It("reports that a request may have been sent when the back end does not respond", func() {
		server := serveScript(func(_ int, connection *scriptedConnection) {
			connection.next()
			connection.next()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := client.Send(newRequest(http.MethodPost, server.listener.Addr().String()).WithContext(ctx), nil)
		var failed *outbound.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.MayHaveBeenSent).To(BeTrue())
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
	})

	It("keeps the connection of a short response that was not read", func() {
		server := serveScript(func(_ int, connection *scriptedConnection) {
			for connection.next() != nil {
				connection.write("%s", fullResponse)
			}
		})
		for range 3 {
			response, err := client.Send(newRequest(http.MethodPost, server.listener.Addr().String()), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
		}
		Expect(server.accepted.Load()).To(Equal(int32(1)))
	})

	DescribeTable("reports that nothing was sent", func(prepare func(*http.Request) *http.Request) {
		server := serveScript(func(int, *scriptedConnection) {})
		request := prepare(newRequest(http.MethodPost, server.listener.Addr().String()))
		_, err := client.Send(request, nil)
		var failed *outbound.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.MayHaveBeenSent).To(BeFalse())
	},
		Entry("when a header value contains a line break", func(request *http.Request) *http.Request {
			request.Header.Set("Id", "a\r\nB: c")
			return request
		}),
		Entry("when the context has ended", func(request *http.Request) *http.Request {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			return request.WithContext(ctx)
		}),
		Entry("when no server listens", func(request *http.Request) *http.Request {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			Expect(listener.Close()).To(Succeed())
			request.URL.Host = listener.Addr().String()
			return request
		}),
	)

	It("does not reuse a connection after its idle time-out", func() {
		replaceClient(outbound.DirectOptions{IdleTimeout: time.Nanosecond})
		server := serveScript(func(_ int, connection *scriptedConnection) {
			for connection.next() != nil {
				connection.write("%s", fullResponse)
			}
		})
		for range 2 {
			Expect(send(server, "", nil)).To(Equal("hello"))
		}
		Expect(server.accepted.Load()).To(Equal(int32(2)))
	})
})
