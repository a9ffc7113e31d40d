package outbound_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// testTimeout bounds every wait on a socket.
	testTimeout = 5 * time.Second
	// fullResponse is what the stand-in answers.
	fullResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nEcho: yes\r\n\r\nhello"
)

// rawBackend is a back end made of a bare socket. The first connection answers
// one request whole, so that it is kept alive, and then closes after reading
// truncateRequest bytes of the second; all others answer every request by their
// first truncateResponse bytes and close.
type rawBackend struct {
	listener         net.Listener
	truncateRequest  int
	truncateResponse int
	accepted         atomic.Int32
	// started counts the second request's appearances, by connections that
	// carried a byte of it; whole counts those that carried all of it.
	started, complete atomic.Int32
	handlers          sync.WaitGroup
}

// newRawBackend starts a back end. A negative truncateRequest reads everything.
func newRawBackend(truncateRequest, truncateResponse int) *rawBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	backend := &rawBackend{listener: listener, truncateRequest: truncateRequest, truncateResponse: truncateResponse}
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
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(connection)
	if first {
		if readRequest(reader) != nil {
			return
		}
		_, _ = io.WriteString(connection, fullResponse)
	}
	if first && b.truncateRequest >= 0 {
		count, _ := io.ReadFull(reader, make([]byte, b.truncateRequest))
		if count > 0 {
			b.started.Add(1)
		}
		return
	}
	if _, err := reader.Peek(1); err != nil {
		return
	}
	b.started.Add(1)
	if readRequest(reader) != nil {
		return
	}
	b.complete.Add(1)
	_, _ = io.WriteString(connection, fullResponse[:b.truncateResponse])
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

// exchangeOnce sends a request and reads its response.
func exchangeOnce(client sender, method, address string, body []byte) error {
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
