package outbound_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scriptedBackend is a back end whose connections are served by a script.
type scriptedBackend struct {
	listener net.Listener
	accepted atomic.Int32
}

// script serves one connection, which is closed when it returns. Connections are numbered from 1.
type script func(number int, connection *scriptedConnection)

// scriptedConnection reads requests and writes text.
type scriptedConnection struct {
	net.Conn
	reader *bufio.Reader
}

// next reads a complete request, or returns nil if it cannot, as at the end of the connection.
func (c *scriptedConnection) next() *http.Request {
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return request
}

// write writes a formatted text.
func (c *scriptedConnection) write(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c, format, arguments...)
}

// reset closes the connection by a TCP reset.
func (c *scriptedConnection) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// serveScript starts a scripted back end.
func serveScript(run script) *scriptedBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	server := &scriptedBackend{listener: listener}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(server.accepted.Add(1))
			_ = connection.SetDeadline(time.Now().Add(testTimeout))
			go func() {
				defer func() { _ = connection.Close() }()
				run(number, &scriptedConnection{Conn: connection, reader: bufio.NewReader(connection)})
			}()
		}
	}()
	return server
}

// responseTo returns a response with the ID of a request as header and body.
func responseTo(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}
