package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// jobs is a load that returns its jobs in order.
type jobs []caller.Job

// Next implements caller.Load.
func (left *jobs) Next() (caller.Job, bool) {
	if len(*left) == 0 {
		return caller.Job{}, false
	}
	next := (*left)[0]
	*left = (*left)[1:]
	return next, true
}

// serveNode starts a node that reports ready and serves all other paths by the handler.
func serveNode(handler http.HandlerFunc) caller.Target {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz/ready", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", handler)
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return caller.Target{Node: "node", TrafficAddress: address, ControlAddress: address}
}

// send runs a load of one job against a node with the handler and returns the records.
func send(job caller.Job, handler http.HandlerFunc) []checker.Request {
	target := serveNode(handler)
	balancer := caller.NewBalancer([]caller.Target{target})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	balancer.Poll(ctx)
	started := time.Now()
	runner := &caller.Runner{Run: "run", Balancer: balancer, Now: func() time.Duration { return time.Since(started) }}
	job.Method = http.MethodPost
	job.Path = "/v1/generate"
	load := jobs{job}
	runner.Do(ctx, &load)
	Expect(ctx.Err()).NotTo(HaveOccurred())
	return runner.Records()
}

func requestID(r *http.Request) string { return r.Header.Get("Request-Id") }

func writeCompleteResponse(w http.ResponseWriter, id string) {
	_ = json.NewEncoder(w).Encode(standin.NewCompleteResponse(id, 20))
}

// streamEvents writes the first count of the three events of a complete streamed response.
func streamEvents(w http.ResponseWriter, id string, count int) {
	output := standin.Output(id, 0, 3)
	chunk, _ := json.Marshal(standin.ChunkResponse{RequestID: id, Output: output})
	digest, _ := json.Marshal(standin.DigestResponse{RequestID: id, Digest: standin.Digest(id, output)})
	events := []string{"data: " + string(chunk), "event: digest\ndata: " + string(digest), "data: [DONE]"}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range events[:count] {
		_, _ = fmt.Fprint(w, event+"\n\n")
	}
}

var _ = Describe("callers", func() {
	It("record a complete response with its request ID and a matching digest", func() {
		records := send(caller.Job{}, func(w http.ResponseWriter, r *http.Request) { writeCompleteResponse(w, requestID(r)) })
		Expect(records).To(HaveLen(1))
		Expect(records[0].Result).To(Equal(checker.ResultComplete))
		Expect(records[0].EchoID).To(Equal(records[0].ID))
		Expect(records[0].DigestMatches).To(BeTrue())
	})

	It("detect a response to another request", func() {
		records := send(caller.Job{}, func(w http.ResponseWriter, _ *http.Request) { writeCompleteResponse(w, "other") })
		Expect(records[0].EchoID).To(Equal("other"))
		Expect(records[0].DigestMatches).To(BeFalse())
	})

	It("record a response as truncated when the connection breaks before Content-Length bytes", func() {
		records := send(caller.Job{}, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			_, _ = w.Write([]byte("{"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		Expect(records[0].Result).To(Equal(checker.ResultTruncated))
	})

	It("detect by the digest a truncated response that ends like a complete one", func() {
		records := send(caller.Job{}, func(w http.ResponseWriter, r *http.Request) {
			data, _ := json.Marshal(standin.NewCompleteResponse(requestID(r), 20))
			_, _ = w.Write(data[:len(data)-10])
		})
		Expect(records[0].Result).To(Equal(checker.ResultComplete))
		Expect(records[0].DigestMatches).To(BeFalse())
	})

	It("record a stream as complete only once its last event has arrived", func() {
		job := caller.Job{Streamed: true}
		records := send(job, func(w http.ResponseWriter, r *http.Request) { streamEvents(w, requestID(r), 3) })
		Expect(records[0].Result).To(Equal(checker.ResultComplete))
		Expect(records[0].DigestMatches).To(BeTrue())
		records = send(job, func(w http.ResponseWriter, r *http.Request) { streamEvents(w, requestID(r), 2) })
		Expect(records[0].Result).To(Equal(checker.ResultTruncated))
	})

	It("record the problem in the error event of a truncated stream", func() {
		records := send(caller.Job{Streamed: true}, func(w http.ResponseWriter, r *http.Request) {
			streamEvents(w, requestID(r), 1)
			_, _ = fmt.Fprint(w, "event: error\ndata: {\"kind\":\"answer_cut\",\"may_have_run\":true}\n\n")
		})
		Expect(records[0].Result).To(Equal(checker.ResultTruncated))
		Expect(records[0].ErrorKind).To(Equal("answer_cut"))
		Expect(records[0].Claim).To(Equal(checker.ClaimMayHaveRun))
	})

	It("retry a refused request with a new request ID after the time in Retry-After", func() {
		var calls atomic.Int32
		records := send(caller.Job{RetriesAfterRefusal: true}, func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) > 1 {
				writeCompleteResponse(w, requestID(r))
				return
			}
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintf(w, `{"kind":"backends_busy","may_have_run":false,"request_id":%q}`, requestID(r))
		})
		Expect(records).To(HaveLen(2))
		Expect(records[0].Claim).To(Equal(checker.ClaimNotRun))
		Expect(records[1].Follows).To(Equal(records[0].ID))
		Expect(records[1].ID).NotTo(Equal(records[0].ID))
		Expect(records[1].Sent - records[0].Ended).To(BeNumerically(">=", time.Second))
	})

	It("do not treat an error without may_have_run as not run", func() {
		records := send(caller.Job{RetriesAfterRefusal: true}, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusBadGateway)
			_, _ = fmt.Fprint(w, `{"kind":"outcome_unknown"}`)
		})
		Expect(records).To(HaveLen(1))
		Expect(records[0].Claim).To(Equal(checker.ClaimNone))
	})

	It("record a request that the caller abandons as disconnected", func() {
		gone := make(chan struct{})
		records := send(caller.Job{DisconnectAfter: 20 * time.Millisecond}, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			close(gone)
		})
		Expect(records[0].Result).To(Equal(checker.ResultDisconnected))
		<-gone
	})
})

var _ = Describe("the balancer", func() {
	It("returns the ready nodes in round-robin order and skips the others", func() {
		ready := serveNode(func(http.ResponseWriter, *http.Request) {})
		second := serveNode(func(http.ResponseWriter, *http.Request) {})
		second.Node = "second"
		down := caller.Target{Node: "down", ControlAddress: "127.0.0.1:1"}
		balancer := caller.NewBalancer([]caller.Target{ready, down, second})
		_, found := balancer.Next()
		Expect(found).To(BeFalse())
		balancer.Poll(context.Background())
		var nodes []string
		for range 4 {
			target, found := balancer.Next()
			Expect(found).To(BeTrue())
			nodes = append(nodes, target.Node)
		}
		Expect(nodes).To(Equal([]string{"node", "second", "node", "second"}))
	})
})
