package inbound

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

func TestInbound(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inbound")
}

const (
	// patience bounds waits in the specs.
	patience  = time.Minute
	mebibyte  = 1 << 20
	bodyLimit = 4 * mebibyte
)

// server is an HTTP server within a budget. Its handler reads the body, and responds with its size
// once the gate lets it.
type server struct {
	budget *Budget
	http   *http.Server
	addr   string
	limits PortLimits
	// gate is received from before a response, if it is not nil.
	gate chan struct{}
}

func startServer(limits Limits, port PortLimits) *server {
	started := &server{budget: NewBudget(limits), limits: port}
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	started.addr = bound.Addr().String()
	started.http = &http.Server{Handler: http.HandlerFunc(started.serve), ReadHeaderTimeout: patience, IdleTimeout: patience}
	Configure(started.http)
	go func() {
		_ = started.http.Serve(NewListener(bound, started.budget, 1, func() PortLimits { return started.limits }))
	}()
	DeferCleanup(started.http.Close)
	return started
}

func (s *server) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := ReadBody(writer, request, bodyLimit)
	switch {
	case errors.Is(err, ErrOverloaded):
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		writer.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if s.gate != nil {
		<-s.gate
	}
	_, _ = fmt.Fprint(writer, len(body))
}

// client is a connection to a server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *server) dial() *client {
	connection, err := net.Dial("tcp", s.addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = connection.Close() })
	return &client{Conn: connection, reader: bufio.NewReader(connection)}
}

// send writes texts, some of which the server may not read.
func (c *client) send(texts ...string) *client {
	for _, text := range texts {
		_, _ = io.WriteString(c, text)
	}
	return c
}

// outcome returns the status of the next response and its body, or "closed".
func (c *client) outcome() string {
	Expect(c.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
	status, text := c.readResponse()
	if status == http.StatusContinue {
		status, text = c.readResponse()
	}
	if status == 0 {
		return "closed"
	}
	return strings.TrimSpace(fmt.Sprint(status, " ", text))
}

// readResponse returns the status of a response and its body, or 0 if the connection is closed.
func (c *client) readResponse() (int, string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// request is the head of a request, with further fields.
func request(fields string) string { return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" }

func announced(size int) string { return request(fmt.Sprintf("Content-Length: %d\r\n", size)) }

func text(size int) string { return strings.Repeat("x", size) }

// holds waits until the requests of a server hold bytes that fulfil a condition.
func (s *server) holds(condition func(bytes int64) bool) {
	EventuallyWithOffset(1, func() bool { return condition(s.budget.Stats().HeldBytes) }).WithTimeout(patience).Should(BeTrue())
}

var large = Limits{Bytes: 64 * mebibyte, Connections: 100}

var _ = Describe("A head", func() {
	port := PortLimits{MaxHeadBytes: 16 << 10}

	It("is read up to the limit, and refused with 431 beyond it", func() {
		served := startServer(large, port)
		Expect(served.dial().send(request("X: " + text(15<<10) + "\r\n")).outcome()).To(Equal("200 0"))
		Expect(served.dial().send("POST / HTTP/1.1\r\nX: " + text(64<<10)).outcome()).To(Equal("431"))
		Expect(served.dial().send("POST / HTTP/1.1\r\n" + strings.Repeat("k:\r\n", 16<<10)).outcome()).To(Equal("431"))
		served.holds(func(bytes int64) bool { return bytes == 0 })
	})

	It("is charged for its fields while the request lasts", func() {
		served := startServer(large, port)
		served.gate = make(chan struct{})
		waiting := served.dial().send(request(strings.Repeat("k: v\r\n", 1000)))
		served.holds(func(bytes int64) bool { return bytes > 1000*fieldBytes })
		close(served.gate)
		Expect(waiting.outcome()).To(Equal("200 0"))
		served.holds(func(bytes int64) bool { return bytes == 0 })
	})

	It("that stops short of its end makes room for others, with 503 if a part of it was read", func() {
		served := startServer(Limits{Bytes: mebibyte, Connections: 100}, port)
		var crowd []*client
		for range 4 {
			crowd = append(crowd, served.dial().send("POST / HTTP/1.1\r\n"+strings.Repeat("k:\r\n", 600)))
			time.Sleep(20 * time.Millisecond)
		}
		Expect(served.dial().send(announced(1), "x").outcome()).To(Equal("200 1"))
		Expect(crowd[0].outcome()).To(Equal("503"))
	})

	It("has to arrive in the configured time, and so has the next request", func() {
		served := startServer(large, PortLimits{MaxHeadBytes: 16 << 10, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Second})
		Expect(served.dial().send("POST / HT").outcome()).To(Equal("408"))
		Expect(served.dial().outcome()).To(Equal("closed"), "nothing was read")
		kept := served.dial().send(request(""))
		Expect(kept.outcome()).To(Equal("200 0"))
		time.Sleep(200 * time.Millisecond)
		Expect(kept.send(request("")).outcome()).To(Equal("200 0"), "the time for heads is not that between requests")
		Expect(kept.outcome()).To(Equal("closed"))
	})
})

var _ = Describe("A body", func() {
	port := PortLimits{MaxHeadBytes: 16 << 10}

	DescribeTable("is read whole, however it is sent", func(send func(c *client), size int) {
		served := startServer(Limits{Bytes: 8 * mebibyte, Connections: 4}, port)
		connection := served.dial()
		go send(connection)
		Expect(connection.outcome()).To(Equal(fmt.Sprint("200 ", size)))
		served.holds(func(bytes int64) bool { return bytes == 0 })
	},
		Entry("empty", func(c *client) { c.send(announced(0)) }, 0),
		Entry("of one byte", func(c *client) { c.send(announced(1), "x") }, 1),
		Entry("of a buffer", func(c *client) { c.send(announced(firstBufferBytes), text(firstBufferBytes)) }, firstBufferBytes),
		Entry("of a buffer and a byte", func(c *client) { c.send(announced(firstBufferBytes+1), text(firstBufferBytes+1)) }, firstBufferBytes+1),
		Entry("of the largest size", func(c *client) { c.send(announced(bodyLimit), text(bodyLimit)) }, bodyLimit),
		Entry("of the largest size in small chunks", func(c *client) {
			c.send(request("Transfer-Encoding: chunked\r\n"), strings.Repeat("1\r\nx\r\n", bodyLimit), "0\r\n\r\n")
		}, bodyLimit),
		Entry("in chunks with a trailer, after 100-continue", func(c *client) {
			c.send(request("Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"))
			c.send("3;extension=1\r\nabc\r\n0\r\nTrailer: x\r\n\r\n")
		}, 3),
	)

	// Guards against a client that keeps the turn of large bodies: the HTTP server reads a single
	// byte where a chunk's line has filled its buffer but for one.
	It("whose chunk line stops a byte short of the server's buffer keeps no other body waiting", func() {
		const serverBuffer = 4096
		served := startServer(large, port)
		line := "1;" + text(serverBuffer-1-len("1;"))
		served.dial().send(request("Transfer-Encoding: chunked\r\n"), fmt.Sprintf("%x\r\n%s\r\n", 2*smallHolderBytes, text(2*smallHolderBytes)), line)
		served.holds(func(bytes int64) bool { return bytes > 2*smallHolderBytes })
		time.Sleep(100 * time.Millisecond)
		other := served.dial()
		go other.send(announced(mebibyte), text(mebibyte))
		Expect(other.outcome()).To(Equal(fmt.Sprint("200 ", mebibyte)))
	})

	It("above the limit is refused, at once if it is announced", func() {
		served := startServer(large, port)
		Expect(served.dial().send(announced(bodyLimit + 1)).outcome()).To(Equal("413"))
		chunked := served.dial()
		go chunked.send(request("Transfer-Encoding: chunked\r\n"), strings.Repeat(fmt.Sprintf("8000\r\n%s\r\n", text(32<<10)), 130))
		Expect(chunked.outcome()).To(Equal("413"))
		served.holds(func(bytes int64) bool { return bytes == 0 })
	})

	It("that the budget never has room for is above the limit", func() {
		served := startServer(Limits{Bytes: mebibyte, Connections: 4}, port)
		Expect(served.dial().send(announced(mebibyte)).outcome()).To(Equal("413"))
	})

	It("that stops short of its end makes room for others, and gets 503", func() {
		served := startServer(Limits{Bytes: 8 * mebibyte, Connections: 100}, port)
		var crowd []*client
		for range 8 {
			crowd = append(crowd, served.dial().send(announced(mebibyte), text(mebibyte-1)))
		}
		Expect(served.dial().send(announced(2000), text(2000)).outcome()).To(Equal("200 2000"))
		whole := served.dial()
		go whole.send(announced(bodyLimit), text(bodyLimit))
		Expect(whole.outcome()).To(Equal(fmt.Sprint("200 ", bodyLimit)))
		refused := 0
		for _, one := range crowd {
			if one.send("x").outcome() == "503" {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">=", 1))
		served.holds(func(bytes int64) bool { return bytes == 0 })
	})

	It("that is complete is kept, and new ones are refused, but for small ones", func() {
		served := startServer(Limits{Bytes: 8 * mebibyte, Connections: 100}, port)
		served.gate = make(chan struct{})
		var complete []*client
		for range 7 {
			complete = append(complete, served.dial().send(announced(mebibyte), text(mebibyte)))
		}
		served.holds(func(bytes int64) bool { return bytes > 6*mebibyte })
		time.Sleep(50 * time.Millisecond)
		Expect(served.dial().send(announced(mebibyte), text(mebibyte)).outcome()).To(Equal("503"))
		small := served.dial().send(announced(2000), text(2000))
		close(served.gate)
		Expect(small.outcome()).To(Equal("200 2000"))
		statuses := map[string]int{}
		for _, one := range complete {
			statuses[one.outcome()]++
		}
		Expect(statuses["200 1048576"]).To(BeNumerically(">=", 6))
		served.holds(func(bytes int64) bool { return bytes == 0 })
	})
})

var _ = Describe("The connections of a port", func() {
	port := PortLimits{MaxHeadBytes: 16 << 10}
	few := Limits{Bytes: 8 * mebibyte, Connections: 8}

	It("that send nothing make room for others, the one that waits longest first", func() {
		served := startServer(few, port)
		var crowd []*client
		for range 40 {
			crowd = append(crowd, served.dial())
		}
		Expect(served.dial().send(request("")).outcome()).To(Equal("200 0"))
		Expect(crowd[0].outcome()).To(Equal("closed"))
		Expect(served.budget.Stats().Connections).To(BeNumerically("<=", 10))
	})

	It("whose bodies are incomplete make room for others", func() {
		served := startServer(few, port)
		for range 8 {
			served.dial().send(announced(10), "123456789")
		}
		Expect(served.dial().send(request("")).outcome()).To(Equal("200 0"))
	})

	It("whose clients read no responses make room for others", func() {
		served := startServer(few, port)
		requests := bytes.Repeat([]byte(request("")), 10_000)
		for range 8 {
			connection := served.dial()
			go func() {
				for {
					if _, err := connection.Write(requests); err != nil {
						return
					}
				}
			}()
		}
		Eventually(func() string { return served.dial().send(request("")).outcome() }).
			WithTimeout(patience).Should(Equal("200 0"))
	})

	It("end with the response while the port is full, so that no client keeps one by its requests", func() {
		served := startServer(few, port)
		kept := served.dial()
		Expect(kept.send(request("")).outcome()).To(Equal("200 0"))
		for range 7 {
			served.dial()
		}
		Eventually(func() int { return served.budget.Stats().Connections }).Should(Equal(8))
		Expect(kept.send(request(""), request("")).outcome()).To(Equal("200 0"))
		Expect(kept.outcome()).To(Equal("closed"))
	})

	It("whose requests run are kept, and new ones are closed", func() {
		served := startServer(few, port)
		served.gate = make(chan struct{})
		var running []*client
		for range 8 {
			running = append(running, served.dial().send(request("")))
		}
		Eventually(func() int { return served.budget.Stats().Connections }).Should(Equal(8))
		time.Sleep(50 * time.Millisecond)
		Expect(served.dial().send(request("")).outcome()).To(Equal("closed"))
		close(served.gate)
		for _, one := range running {
			Expect(one.outcome()).To(Equal("200 0"))
		}
	})

	It("are counted until they are closed", func() {
		served := startServer(few, port)
		for range 50 {
			connection := served.dial()
			Expect(connection.send(request("")).outcome()).To(Equal("200 0"))
			Expect(connection.Close()).To(Succeed())
		}
		Eventually(func() int { return served.budget.Stats().Connections }).Should(BeZero())
		Expect(served.budget.Stats().Refused).To(BeZero())
	})
})

var _ = DescribeTable("The limits of a machine",
	func(machine Machine, limits Limits) { Expect(LimitsOf(machine)).To(Equal(limits)) },
	Entry("with little memory", Machine{MemoryBytes: 88 * mebibyte, Descriptors: 4096}, Limits{Bytes: 88 * mebibyte / 5, Connections: 563, BackendConnections: 682}),
	Entry("with few descriptors", Machine{MemoryBytes: 284 * mebibyte, Descriptors: 256}, Limits{Bytes: 284 * mebibyte / 5, Connections: 128, BackendConnections: 42}),
	Entry("with next to nothing", Machine{MemoryBytes: mebibyte, Descriptors: 8}, Limits{Bytes: mebibyte / 5, Connections: minConnections, BackendConnections: minConnections}),
)

var _ = It("takes the limits of the computer where the machine's are not known", func() {
	limits := LimitsOf(Machine{})
	Expect(limits.Bytes).To(BeNumerically(">", 100*mebibyte))
	Expect(limits.Connections).To(BeNumerically(">", minConnections))
})

var _ = DescribeTable("The largest body that a machine has room for is read in calm", func(megabytes int64) {
	limits := LimitsOf(Machine{MemoryBytes: megabytes * mebibyte, Descriptors: 256})
	budget := NewBudget(limits)
	size := budget.largestBody()
	for _, length := range []int64{size / 4, size/4 + 1, 4 * mebibyte, size - 1, size} {
		for _, declared := range []int64{length, -1} {
			request, connection := requestWithin(budget, http.MethodPost)
			Expect(budget.charge(connection, 16<<10)).To(Succeed(), "the head")
			request.Body, request.ContentLength = io.NopCloser(strings.NewReader(text(int(length)))), declared
			body, err := ReadBody(httptest.NewRecorder(), request, 1<<30)
			Expect(err).NotTo(HaveOccurred(), "%d bytes of at most %d, declared %d", length, size, declared)
			Expect(body).To(HaveLen(int(length)))
			connection.SetState(http.StateIdle)
		}
	}
}, Entry(nil, int64(88)), Entry(nil, int64(117)), Entry(nil, int64(284)))
