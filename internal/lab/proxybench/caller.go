package proxybench

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// callTimeout bounds a request.
const callTimeout = 10 * time.Second

// requestFormat is a request up to the number in its identity. Three chunks are
// what a short conversation has; each connection has a case of its own, so that
// a node spreads them over the replicas.
const requestFormat = "POST /v1/generate HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + tenantKey +
	"\r\nPrefix: system;tokens=512, case-%s;tokens=2048, question;tokens=64\r\nOutput-Tokens: 16\r\nContent-Length: %d\r\nRequest-Id: %s-"

// connection is a caller's connection. It writes and reads by hand, because a
// whole HTTP client would take more processor time than what is measured.
type connection struct {
	socket net.Conn
	reader *bufio.Reader
	// head is a request up to the number in its identity.
	head []byte
	body string
	// buffer is used again for each request.
	buffer []byte
	// count counts the requests so far.
	count uint64
}

// dial opens a connection whose requests bear identities that begin with name.
func dial(address, name string, bodyBytes int) (*connection, error) {
	socket, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &connection{
		socket: socket,
		reader: bufio.NewReader(socket),
		head:   fmt.Appendf(nil, requestFormat, name, bodyBytes, name),
		body:   strings.Repeat("p", bodyBytes),
	}, nil
}

// call sends one request and reads the response to its end.
func (c *connection) call() error {
	c.count++
	c.buffer = append(c.buffer[:0], c.head...)
	c.buffer = strconv.AppendUint(c.buffer, c.count, 10)
	c.buffer = append(c.buffer, "\r\n\r\n"...)
	c.buffer = append(c.buffer, c.body...)
	if _, err := c.socket.Write(c.buffer); err != nil {
		return errors.WithStack(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	received, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		return errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK || received != int64(len(c.body)) {
		return errors.Errorf("a response has status %d and %d bytes", response.StatusCode, received)
	}
	return nil
}

// close ends the connection.
func (c *connection) close() {
	_ = c.socket.Close()
}
