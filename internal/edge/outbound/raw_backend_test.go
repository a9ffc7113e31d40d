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
	// testTimeout bounds each wait for a socket or for a spec's event.
	testTimeout = 5 * time.Second
	// fullResponse is the response of the test back ends.
	fullResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nEcho: yes\r\n\r\nhello"
)

// rawBackend is a back end on a plain socket. On its first connection it responds to one request
// completely, so that the connection is kept alive, and closes the connection after reading
// truncateRequest bytes of the second request. On every other connection, and for the second
// request on the first one if truncateRequest is negative, it reads one request, sends the first
// truncateResponse bytes of the response, and closes the connection.
type rawBackend struct {
	listener         net.Listener
	truncateRequest  int
	truncateResponse int
	accepted         atomic.Int32
	// started counts the connections that received any byte of the second request;
	// complete counts those that received all of it.
	started, complete atomic.Int32
	handlers          sync.WaitGroup
}

// newRawBackend starts a back end. If truncateRequest is negative, it reads all requests
// completely.
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

// stop waits until every connection has ended, after which no request can arrive.
func (b *rawBackend) stop() {
	_ = b.listener.Close()
	b.handlers.Wait()
}

// readRequest reads one complete request.
func readRequest(reader *bufio.Reader) error {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err
}

// newRequest returns a request whose headers permit a plain http.Client to retry it.
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

// requestBytes returns the approximate size of a request of newRequest as Client writes it.
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
