package replica_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	maxResponseBytes = 1 << 10
	attemptID        = "attempt-7"
)

// startReplica starts a replica whose responses script writes, and returns its address.
func startReplica(script http.HandlerFunc) string {
	server := httptest.NewServer(script)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

// sender returns an outbound client that is closed after the spec.
func sender() *outbound.Client {
	client := outbound.New(outbound.Options{Name: "test"})
	DeferCleanup(client.CloseIdle)
	return client
}

// generate runs one attempt on a replica whose responses script writes, and which echoes the
// attempt ID unless script replaces it.
func generate(call replica.Call, script http.HandlerFunc) (*replica.Response, error) {
	call.Address = startReplica(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(replica.HeaderAttemptID, attemptID)
		script(writer, request)
	})
	call.AttemptID = attemptID
	return replica.NewClient(sender(), maxResponseBytes).Generate(context.Background(), call)
}

// readStream reads a stream until an error, which is io.EOF at the stream's complete end.
func readStream(response *replica.Response) (string, error) {
	var all string
	for {
		event, err := response.Next()
		if err != nil {
			return all, err
		}
		all += string(event)
	}
}

var _ = Describe("Client", func() {
	It("sends the headers of a pull", func() {
		var seen http.Header
		answer, err := generate(replica.Call{Attempt: 2, Pull: &replica.Pull{Source: "peer:1", FirstChunk: 1, LastChunk: 3}},
			func(_ http.ResponseWriter, request *http.Request) { seen = request.Header })
		Expect(err).NotTo(HaveOccurred())
		answer.Close()
		Expect(seen.Get(replica.HeaderPullSource)).To(Equal("peer:1"))
		Expect(seen.Get(replica.HeaderPullChunks)).To(Equal("1-3"))
		Expect(seen.Get(replica.HeaderAttempt)).To(Equal("2"))
	})

	It("accepts a rejection only with the guarantee not to run", func() {
		_, err := generate(replica.Call{}, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(replica.HeaderNotRun, "true")
			writer.Header().Set("Retry-After", "4")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		var refused *outbound.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.RetryAfter).To(Equal(4 * time.Second))

		answer, err := generate(replica.Call{}, func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status()).To(Equal(http.StatusServiceUnavailable))
	})

	It("rejects a response to another attempt, even with the guarantee not to run", func() {
		_, err := generate(replica.Call{}, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(replica.HeaderAttemptID, "attempt-6")
			writer.Header().Set(replica.HeaderNotRun, "true")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
		Expect(err).To(BeAssignableToTypeOf(&outbound.InvalidResponseError{}))
	})

	DescribeTable("rejects a complete response", func(script http.HandlerFunc) {
		answer, err := generate(replica.Call{}, script)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = answer.ReadAll()
		Expect(err).To(BeAssignableToTypeOf(&outbound.InvalidResponseError{}))
		answer.Close()
	},
		Entry("that is too large", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write(make([]byte, maxResponseBytes+1))
		})),
		Entry("that does not mark its end", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			connection, _, err := writer.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\nanswer", attemptID)
				_ = connection.Close()
			}
		})),
	)

	DescribeTable("reads a stream", func(sent, received string, properEnd bool) {
		answer, err := generate(replica.Call{}, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
			_, _ = io.WriteString(writer, sent)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Streamed()).To(BeTrue())
		text, err := readStream(answer)
		Expect(text).To(Equal(received))
		if properEnd {
			Expect(err).To(BeIdenticalTo(io.EOF))
		} else {
			Expect(err).To(BeAssignableToTypeOf(&outbound.InvalidResponseError{}))
			Expect(err).NotTo(MatchError(io.EOF), "a truncated stream must not end like a complete one")
		}
	},
		Entry("with its end event", "data: a\n\ndata: [DONE]\n\n", "data: a\n\ndata: [DONE]\n\n", true),
		Entry("with CRLF line ends", "data: a\r\n\r\ndata:[DONE]\r\n\r\n", "data: a\r\n\r\ndata:[DONE]\r\n\r\n", true),
		Entry("without its end event", "data: a\n\n", "data: a\n\n", false),
		Entry("that ends within an event", "data: a\n\ndata: b", "data: a\n\n", false),
		Entry("that ends within its end event", "data: [DONE]\n", "", false),
		// Guards against garbage that was relayed as an event.
		Entry("with text in it", "data: a\n\ngarbage\n\ndata: [DONE]\n\n", "data: a\n\n", false),
		Entry("with another response in it", "data: a\n\nHTTP/1.1 200 OK\nContent-Length: 0\n\ndata: [DONE]\n\n", "data: a\n\n", false),
		Entry("with an event without data", "data: a\n\nevent: ping\n\ndata: [DONE]\n\n", "data: a\n\n", false),
		Entry("with comments and blank lines", ": x\n\n\ndata: a\n\ndata: [DONE]\n\n", "data: a\n\ndata: [DONE]\n\n", true),
		Entry("that continues after its end event", "data: [DONE]\n\ndata: a\n\n", "data: [DONE]\n\n", false),
		Entry("whose data contains the end marker among other text", "data: not [DONE]\n\n", "data: not [DONE]\n\n", false),
		Entry("with an event above the size limit", "data: "+string(make([]byte, 2*maxResponseBytes)), "", false),
	)
})

var _ = Describe("EventClient", func() {
	It("reads the events after a position", func() {
		var query string
		address := startReplica(func(writer http.ResponseWriter, request *http.Request) {
			query = request.URL.RawQuery
			_, _ = io.WriteString(writer, `{"kind":"stored","incarnation":3,"sequence":9,"parts":[{"hash":"ff","tokens":5}]}`+"\n\n"+
				`{"kind":"report","incarnation":3,"report":{"weight_version":"w","age_ms":1500}}`+"\n")
		})
		var events []replica.Event
		err := replica.NewEventClient(sender(), time.Minute).Follow(context.Background(), address,
			replica.Position{Incarnation: 3, Sequence: 8}, func(event replica.Event) error {
				events = append(events, event)
				return nil
			})
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(query).To(Equal("after=8&incarnation=3"))
		Expect(events).To(HaveLen(2))
		Expect(events[0].Links()).To(Equal([]prefixindex.Link{{Hash: 255, Tokens: 5}}))
		Expect(events[0].Hashes()).To(Equal([]prefixindex.ChainHash{255}))
		Expect(events[1].Report.Age()).To(Equal(1500 * time.Millisecond))
	})

	It("ends a stream without events after the idle time-out", func() {
		address := startReplica(func(writer http.ResponseWriter, request *http.Request) {
			writer.(http.Flusher).Flush()
			<-request.Context().Done()
		})
		err := replica.NewEventClient(sender(), 20*time.Millisecond).Follow(context.Background(), address,
			replica.Position{}, func(replica.Event) error { return nil })
		Expect(err).To(MatchError(context.Canceled))
	})

	DescribeTable("returns an error", func(script http.HandlerFunc) {
		err := replica.NewEventClient(sender(), time.Minute).Follow(context.Background(), startReplica(script), replica.Position{},
			func(replica.Event) error { return nil })
		Expect(err).To(HaveOccurred())
	},
		Entry("for a line that is not an event", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "{\n")
		})),
		Entry("for a status other than 200", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusNotFound)
		})),
	)
})

var _ = Describe("CacheSalt", func() {
	It("differs if any argument differs, even if the arguments concatenate to the same text", func() {
		salts := map[string]bool{
			replica.CacheSalt("m", "v", "d"):  true,
			replica.CacheSalt("m2", "v", "d"): true,
			replica.CacheSalt("m", "v2", "d"): true,
			replica.CacheSalt("m", "v", "d2"): true,
			replica.CacheSalt("mv", "", "d"):  true,
			replica.CacheSalt("m", "vd", ""):  true,
		}
		Expect(salts).To(HaveLen(6))
		Expect(replica.CacheSalt("m", "v", "d")).To(Equal(replica.CacheSalt("m", "v", "d")))
	})
})
