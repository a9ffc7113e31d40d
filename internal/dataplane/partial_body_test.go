package dataplane_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// callerConnection is a raw connection of a caller to the node.
type callerConnection struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a connection to the node, whose reads and writes time out after waitTimeout.
func (f *fixture) connect() *callerConnection {
	connection, err := net.DialTimeout("tcp", f.front.Listener.Addr().String(), waitTimeout)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = connection.Close() })
	Expect(connection.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	return &callerConnection{Conn: connection, reader: bufio.NewReader(connection)}
}

// write writes text unchanged.
func (c *callerConnection) write(text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// readResponse reads one response with its body, and skips interim responses (100 Continue).
func (c *callerConnection) readResponse() (*http.Response, string) {
	response, err := http.ReadResponse(c.reader, nil)
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(c.reader, nil)
	}
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(body)
}

// promptHead returns the head of a request to the pool, with lines as further headers.
func promptHead(lines ...string) string {
	return "POST /v1/generate HTTP/1.1\r\nHost: " + poolHost + "\r\nAuthorization: Bearer " + courtKey + "\r\n" +
		strings.Join(append(lines, "", ""), "\r\n")
}

var _ = Describe("A caller that does not send its body completely", func() {
	const (
		routeTimeout = 300 * time.Millisecond
		// tolerance is how long after the route's time-out the response may come.
		tolerance = 500 * time.Millisecond
	)

	DescribeTable("gets its response at the route's time-out, and the request is not run", func(lines []string, partial string) {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.route = &ridgeswitchv1.Route{TimeoutMs: uint32(routeTimeout.Milliseconds())}
		f.publish()
		connection := f.connect()
		full := promptHead(fmt.Sprintf("Content-Length: %d", len(defaultBody))) + defaultBody
		connection.write(full)
		response, _ := connection.readResponse()
		Expect(response.StatusCode).To(Equal(http.StatusOK), "a complete request on the same connection")

		began := time.Now()
		connection.write(promptHead(lines...) + partial)
		response, _ = connection.readResponse()
		took := time.Since(began)
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(took).To(BeNumerically(">=", routeTimeout))
		Expect(took).To(BeNumerically("<", routeTimeout+tolerance))
		Expect(response.Close).To(BeTrue(), "later bytes must not be read as a request")
		_, err := connection.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(backend.requests()).To(HaveLen(1))
	},
		Entry("but sends a part", []string{"Content-Length: 100"}, "a part"),
		Entry("but sends none of it", []string{"Content-Length: 100"}, ""),
		Entry("but sends a large part", []string{"Content-Length: 1000000"}, strings.Repeat("x", 300000)),
		Entry("but sends one chunk", []string{"Transfer-Encoding: chunked"}, "6\r\na part\r\n"),
		Entry("but sends a part of a chunk", []string{"Transfer-Encoding: chunked"}, "8\r\na part"),
		Entry("but sends all chunks without the final line break", []string{"Transfer-Encoding: chunked"}, "6\r\na part\r\n0\r\n"),
		Entry("after an Expect: 100-continue", []string{"Content-Length: 100", "Expect: 100-continue"}, ""),
	)

	DescribeTable("is refused without delay if the refusal does not depend on the body", func(status int, change func(f *fixture), host, key string) {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		change(f)
		before := len(backend.requests())
		connection := f.connect()
		began := time.Now()
		connection.write("POST / HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 100\r\n\r\na part")
		response, _ := connection.readResponse()
		Expect(response.StatusCode).To(Equal(status))
		Expect(time.Since(began)).To(BeNumerically("<", tolerance))
		Expect(response.Close).To(BeTrue())
		Expect(backend.requests()).To(HaveLen(before))
	},
		Entry("for an unknown host", http.StatusNotFound, func(*fixture) {}, "gone.example", courtKey),
		Entry("for an unknown key", http.StatusUnauthorized, func(*fixture) {}, poolHost, "no key"),
		Entry("by a node that may not serve", http.StatusServiceUnavailable, func(f *fixture) {
			f.source.refusal = errors.New("cut off")
		}, poolHost, courtKey),
		Entry("above the rate limit", http.StatusTooManyRequests, func(f *fixture) {
			f.limits = &ridgeswitchv1.Limits{RequestsPerSecond: 0.001, Burst: 1}
			f.publish()
			Expect(f.generate().status).To(Equal(http.StatusOK))
		}, poolHost, courtKey),
	)

	It("is served if it sends the remaining body in time, and may reuse the connection", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.route = &ridgeswitchv1.Route{TimeoutMs: uint32(routeTimeout.Milliseconds())}
		f.publish()
		connection := f.connect()
		for range 3 {
			for _, piece := range []string{promptHead("Content-Length: 8"), "slow", "ness"} {
				connection.write(piece)
			}
			response, body := connection.readResponse()
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(body).To(Equal("ok"))
		}
	})
})
