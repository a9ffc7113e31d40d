package outbound_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

const (
	// patience bounds every wait on a socket.
	patience = 5 * time.Second
	// fullAnswer is what the stand-in answers.
	fullAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nEcho: yes\r\n\r\nhello"
)

// rawBackend is a back end made of a bare socket. The first connection answers
// one request whole, so that it is kept alive, and then closes after reading
// cutRequest bytes of the second; all others answer every request by their
// first cutAnswer bytes and close.
type rawBackend struct {
	listener   net.Listener
	cutRequest int
	cutAnswer  int
	accepted   atomic.Int32
	// begun counts the second request's appearances, by connections that
	// carried a byte of it; whole counts those that carried all of it.
	begun, whole atomic.Int32
	handlers     sync.WaitGroup
}

// newRawBackend starts a back end. A negative cutRequest reads everything.
func newRawBackend(cutRequest, cutAnswer int) *rawBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	backend := &rawBackend{listener: listener, cutRequest: cutRequest, cutAnswer: cutAnswer}
	backend.handlers.Add(1)
	go backend.accept()
	return backend
}

func (b *rawBackend) accept() {
	defer b.handlers.Done()
	for {
		connection, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.handlers.Add(1)
		go b.serve(connection, b.accepted.Add(1) == 1)
	}
}

func (b *rawBackend) serve(connection net.Conn, first bool) {
	defer b.handlers.Done()
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(patience))
	reader := bufio.NewReader(connection)
	if first {
		if readRequest(reader) != nil {
			return
		}
		_, _ = io.WriteString(connection, fullAnswer)
	}
	if first && b.cutRequest >= 0 {
		count, _ := io.ReadFull(reader, make([]byte, b.cutRequest))
		if count > 0 {
			b.begun.Add(1)
		}
		return
	}
	if _, err := reader.Peek(1); err != nil {
		return
	}
	b.begun.Add(1)
	if readRequest(reader) != nil {
		return
	}
	b.whole.Add(1)
	_, _ = io.WriteString(connection, fullAnswer[:b.cutAnswer])
}

// stop waits for every connection to end, after which nothing can come late.
func (b *rawBackend) stop() {
	_ = b.listener.Close()
	b.handlers.Wait()
}

// readRequest reads one whole request.
func readRequest(reader *bufio.Reader) error {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err
}

// newRequest returns a request that a plain client would take leave to repeat.
func newRequest(method, address string) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+"/v1/generate", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Idempotency-Key", "same")
	request.Header.Set("X-Idempotency-Key", "same")
	return request
}

// exchangeOnce sends a request and reads its answer.
func exchangeOnce(client *outbound.Client, method, address string, body []byte) error {
	response, err := client.Send(newRequest(method, address), body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err
}

// requestBytes is the size of a request on the wire, as far as it matters here.
func requestBytes(method string, body []byte) int {
	var wire bytes.Buffer
	request := newRequest(method, "127.0.0.1:10000")
	request.Header.Del("Idempotency-Key")
	request.Header.Del("X-Idempotency-Key")
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	Expect(request.Write(&wire)).To(Succeed())
	return wire.Len()
}

var _ = Describe("Client", func() {
	var client *outbound.Client

	BeforeEach(func() {
		client = outbound.New(outbound.Options{Name: "test"})
		DeferCleanup(client.CloseIdle)
	})

	DescribeTable("sends once at most, wherever the connection ends in the request", func(method string, body []byte) {
		for cut := range requestBytes(method, body) + 1 {
			backend := newRawBackend(cut, len(fullAnswer))
			address := backend.listener.Addr().String()
			Expect(exchangeOnce(client, method, address, body)).To(Succeed())
			err := exchangeOnce(client, method, address, body)
			client.CloseIdle()
			backend.stop()

			Expect(backend.begun.Load()).To(BeNumerically("<=", 1), "cut after %d bytes", cut)
			var failed *outbound.Error
			switch {
			case err == nil:
				Expect(backend.whole.Load()).To(Equal(int32(1)), "cut after %d bytes", cut)
			case errors.As(err, &failed) && !failed.MayHaveLeft:
				Expect(backend.begun.Load()).To(BeZero(), "cut after %d bytes", cut)
			}
			if cut > 0 {
				Expect(failed).NotTo(BeNil(), "cut after %d bytes", cut)
				Expect(failed.MayHaveLeft).To(BeTrue(), "cut after %d bytes", cut)
			}
		}
	},
		Entry("with a body", http.MethodPost, []byte("prompt")),
		Entry("with an empty body", http.MethodPost, []byte(nil)),
		Entry("without a body", http.MethodGet, []byte(nil)),
	)

	DescribeTable("sends once, wherever the connection ends in the answer", func(method string) {
		for cut := range len(fullAnswer) + 1 {
			backend := newRawBackend(-1, cut)
			address := backend.listener.Addr().String()
			Expect(exchangeOnce(client, method, address, nil)).To(Succeed())
			err := exchangeOnce(client, method, address, nil)
			client.CloseIdle()
			backend.stop()
			Expect(backend.whole.Load()).To(Equal(int32(1)), "cut after %d bytes", cut)
			if cut < len(fullAnswer) {
				Expect(err).To(HaveOccurred(), "cut after %d bytes", cut)
			} else {
				Expect(err).NotTo(HaveOccurred())
			}
		}
	}, Entry("for POST", http.MethodPost), Entry("for GET", http.MethodGet))

	It("is needed: a plain client sends again by itself", func() {
		plain := &http.Client{Transport: &http.Transport{}}
		backend := newRawBackend(10, len(fullAnswer))
		address := backend.listener.Addr().String()
		for range 2 {
			response, err := plain.Do(newRequest(http.MethodGet, address))
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		plain.CloseIdleConnections()
		backend.stop()
		Expect(backend.begun.Load()).To(Equal(int32(2)))
	})

	It("knows that nothing left when the connection is refused", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		err = exchangeOnce(client, http.MethodPost, address, []byte("prompt"))
		var failed *outbound.Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.MayHaveLeft).To(BeFalse())
	})

	DescribeTable("does not follow a redirect, which would send a second time", func(status int) {
		target := newRawBackend(-1, len(fullAnswer))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_ = readRequest(bufio.NewReader(connection))
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d Again\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", status, target.listener.Addr())
			_ = connection.Close()
		}()
		response, err := client.Send(newRequest(http.MethodPost, listener.Addr().String()), []byte("prompt"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(status))
		_ = response.Body.Close()
		target.stop()
		Expect(target.accepted.Load()).To(BeZero())
		Expect(listener.Close()).To(Succeed())
	}, Entry("with the same method", http.StatusTemporaryRedirect), Entry("with GET", http.StatusSeeOther))

	It("does not reuse the connection of an answer that was not read to its end", func() {
		long := strings.Repeat("x", 1<<20)
		connections := make(chan net.Conn, 2)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					close(connections)
					return
				}
				connections <- connection
				go func() {
					_ = readRequest(bufio.NewReader(connection))
					_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
				}()
			}
		}()
		for range 2 {
			response, err := client.Send(newRequest(http.MethodPost, listener.Addr().String()), []byte("prompt"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(response.Body, make([]byte, 10))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
		}
		Expect(listener.Close()).To(Succeed())
		count := 0
		for connection := range connections {
			count++
			_ = connection.Close()
		}
		Expect(count).To(Equal(2))
	})
})
