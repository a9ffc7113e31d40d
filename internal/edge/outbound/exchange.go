package outbound

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// inlineBodyBytes is the longest body that is written before the response is read. A longer
// body is written while the response is read, since the back end may respond before it has
// read the body.
const inlineBodyBytes = 16 << 10

// errNoResponse reports that the connection delivered something other than the response to the
// request.
var errNoResponse = errors.New("no answer to the request came on its connection")

// exchange is one request on its connection, and the body of its response. It belongs to the
// goroutine of the request. For a long body, write starts a goroutine that owns
// connection.written and incomplete until it closes writing.
type exchange struct {
	connection *directConnection
	request    *http.Request
	options    *DirectOptions
	idle       *idleConnections
	// stop prevents the end of the request's context from closing the connection. It
	// returns false if that closing has started already.
	stop func() bool
	// writing is closed when the writing of a long body has ended; nil for a short body.
	writing chan struct{}
	// incomplete means that the request could not be written completely.
	incomplete bool
	response   *http.Response
	body       io.ReadCloser
	// surplus means that the connection delivered a response to another request.
	surplus bool
	// ended means that the connection was closed or returned to the idle connections.
	ended bool
	// readError is the first error of reading the body, which may be io.EOF.
	readError error
}

// run writes the request and reads the head of its response.
func (e *exchange) run(body []byte) (*http.Response, error) {
	if err := e.write(body); err != nil {
		return nil, err
	}
	response, err := e.readHead()
	if err != nil {
		return nil, err
	}
	e.response = response
	e.body = response.Body
	response.Body = e
	return response, nil
}

// write writes the request, with a long body in a goroutine of its own. It returns an error only
// if the kernel accepted no byte, since the back end may respond to a request that was written
// in part.
func (e *exchange) write(body []byte) error {
	connection := e.connection
	connection.head = appendHead(connection.head[:0], e.request, len(body))
	if len(body) <= inlineBodyBytes {
		connection.head = append(connection.head, body...)
		count, err := connection.Write(connection.head)
		connection.written = count
		e.incomplete = err != nil
		if count == 0 {
			return err
		}
		return nil
	}
	e.writing = make(chan struct{})
	go func() {
		defer close(e.writing)
		message := net.Buffers{connection.head, body}
		count, err := message.WriteTo(connection.Conn)
		connection.written = int(count)
		e.incomplete = err != nil
	}()
	return nil
}

// readHead reads the head of the response. It skips interim responses and discards responses
// to other requests.
func (e *exchange) readHead() (*http.Response, error) {
	surplus := 0
	for range maxInterim {
		e.connection.limitHeader()
		response, err := http.ReadResponse(e.connection.reader, e.request)
		e.connection.liftLimit()
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errNoResponse
		case response.StatusCode < http.StatusOK:
			continue
		case e.options.Matches == nil || e.options.Matches(e.request, response):
			return response, nil
		case surplus == maxSurplus || !discardResponse(response):
			return nil, errNoResponse
		}
		surplus++
		e.surplus = true
	}
	return nil, errNoResponse
}

// discardResponse reads the response to another request to its end. It returns false if the
// response has no marked end, cannot be read, or has a body of maxSurplusBytes or more.
func discardResponse(response *http.Response) bool {
	defer func() { _ = response.Body.Close() }()
	if !Delimited(response) {
		return false
	}
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes))
	return err == nil && count < maxSurplusBytes
}

// Delimited reports whether a response marks its own end, by a length or by chunked encoding.
// Any other response ends with its connection.
func Delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// Read implements io.Reader. It reads the response's body.
func (e *exchange) Read(data []byte) (int, error) {
	if e.readError != nil {
		return 0, e.readError
	}
	count, err := e.body.Read(data)
	if err != nil {
		e.readError = err
		if err == io.EOF {
			e.finish()
		} else {
			e.abort()
		}
	}
	return count, err
}

// Close implements io.Closer. It keeps the connection if the response declares its length and
// that many bytes have been received and not read; otherwise it closes the connection.
func (e *exchange) Close() error {
	if e.ended {
		return nil
	}
	rest := e.response.ContentLength
	if e.readError == nil && rest >= 0 && rest <= int64(e.connection.reader.Buffered()) {
		_, _ = io.Copy(io.Discard, e)
		return nil
	}
	e.abort()
	return nil
}

// abort ends the exchange and closes its connection.
func (e *exchange) abort() {
	if e.ended {
		return
	}
	e.ended = true
	e.stop()
	e.connection.close()
	if e.writing != nil {
		<-e.writing
	}
}

// finish ends the exchange after the complete response, and keeps the connection if it can be
// reused.
func (e *exchange) finish() {
	if e.ended {
		return
	}
	if !e.reusable() || !e.stop() {
		e.abort()
		return
	}
	e.ended = true
	e.idle.put(e.connection, e.reuseTime())
}

// reusable reports whether the connection can serve another request: the request was written
// and its response ended completely, and no other bytes or responses have arrived.
func (e *exchange) reusable() bool {
	return e.writeComplete() && !e.surplus && !e.response.Close && Delimited(e.response) && e.connection.reader.Buffered() == 0
}

// writeComplete reports whether the whole request has been written.
func (e *exchange) writeComplete() bool {
	if e.writing != nil {
		select {
		case <-e.writing:
		default:
			return false
		}
	}
	return !e.incomplete
}

// reuseTime returns how long the idle connection may be reused: three quarters of the time
// after which the back end closes it according to its Keep-Alive header, and at most the idle
// time-out.
func (e *exchange) reuseTime() time.Duration {
	const numerator, denominator = 3, 4
	_, parameter, given := strings.Cut(strings.ToLower(e.response.Header.Get("Keep-Alive")), "timeout=")
	if !given {
		return e.options.IdleTimeout
	}
	text, _, _ := strings.Cut(parameter, ",")
	seconds, err := strconv.ParseUint(strings.TrimSpace(text), 10, 16)
	if err != nil {
		return e.options.IdleTimeout
	}
	return min(e.options.IdleTimeout, time.Duration(seconds)*time.Second*numerator/denominator)
}

// framingHeaders are the headers that appendHead sets itself or that describe the connection.
// appendHead omits them from the request's own headers.
var framingHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true,
}

// appendHead appends the head of a request to a buffer.
func appendHead(head []byte, request *http.Request, bodyBytes int) []byte {
	head = append(head, request.Method...)
	head = append(head, ' ')
	head = append(head, request.URL.RequestURI()...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	if request.Host != "" {
		head = append(head, request.Host...)
	} else {
		head = append(head, request.URL.Host...)
	}
	head = append(head, "\r\n"...)
	for name, values := range request.Header {
		if framingHeaders[name] {
			continue
		}
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	if bodyBytes > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(bodyBytes), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...)
}
