package player_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/player"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

// send sends a streamed request of the court to nodes.
func send(nodes ...string) player.Result {
	fleet, err := player.NewFleet(nodes, []player.Key{{Tenant: "court", Secret: "secret"}}, 4)
	Expect(err).NotTo(HaveOccurred())
	defer fleet.Close()
	return fleet.Send(context.Background(), player.Attempt{Record: recording.Record{
		Tenant: "court", Host: "models.example",
		Pool: "cases", Model: "large", Chunks: []recording.Chunk{{ID: "a", Tokens: 3}, {ID: "b", Tokens: 4}},
		OutputTokens: 9, Repeatable: true, Streamed: true, DeadlineMS: 2500,
	}})
}

// node starts a node with a scripted answer and returns its address.
func node(script http.HandlerFunc) string {
	server := httptest.NewServer(script)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

// streaming answers with a stream of events.
func streaming(text string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", caller.StreamType)
		writer.Header().Set("Reused-Tokens", "3")
		_, _ = fmt.Fprint(writer, text)
	}
}

var _ = Describe("Fleet", func() {
	DescribeTable("goes to loopback addresses only", func(address string) {
		_, err := player.NewFleet([]string{"127.1.1.11:7200", address}, nil, 1)
		var refused *player.AddressError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Address).To(Equal(address))
	},
		Entry("elsewhere", "192.0.2.1:7200"),
		Entry("a name", "localhost:7200"),
		Entry("the other loopback", "[::1]:7200"),
		Entry("everywhere", "0.0.0.0:7200"),
		Entry("no port", "127.0.0.1"))

	It("sends what was recorded", func() {
		seen := make(chan *http.Request, 1)
		result := send(node(func(writer http.ResponseWriter, request *http.Request) {
			seen <- request
			streaming("data: x\n\ndata: [DONE]\n\n")(writer, request)
		}))
		Expect(result.Outcome).To(Equal(recording.Completed))
		Expect(result.ReusedTokens).To(Equal(uint64(3)))
		Expect(result.FirstToken).To(BeNumerically(">", 0))
		request := <-seen
		Expect(request.Host).To(Equal("models.example"))
		Expect(request.Header.Get("Authorization")).To(Equal("Bearer secret"))
		parsed, err := caller.Parse(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed).To(And(HaveField("Model", "large"), HaveField("OutputTokens", uint32(9)), HaveField("Streamed", true),
			HaveField("Idempotent", true), HaveField("Deadline", 2500*time.Millisecond), HaveField("Chunks", HaveLen(2))))
		Expect(parsed.ID).To(HavePrefix("replay-"))
	})

	It("asks the next node when one takes no connection", func() {
		dead := httptest.NewServer(http.NotFoundHandler())
		address := dead.Listener.Addr().String()
		dead.Close()
		alive := node(streaming("data: [DONE]\n\n"))
		Expect(send(address, alive).Outcome).To(Equal(recording.Completed))
		Expect(send(alive, address).Outcome).To(Equal(recording.Completed))
		Expect(send(address)).To(Equal(player.Result{Outcome: recording.Refused, Problem: "unreachable"}))
	})

	It("counts a stream without its end as cut, and a lost connection as well", func() {
		Expect(send(node(streaming("data: x\n\n"))).Outcome).To(Equal(recording.Truncated))
		Expect(send(node(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })).Outcome).To(Equal(recording.Truncated))
	})

	DescribeTable("reads refusals", func(body string, kind string, certain bool) {
		result := send(node(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Retry-After", "2")
			writer.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(writer, body)
		}))
		Expect(result).To(And(HaveField("Outcome", recording.Refused), HaveField("Problem", kind), HaveField("Certain", certain)))
	},
		Entry("not run", `{"kind":"no_backend","may_have_run":false}`, "no_backend", true),
		Entry("may have run", `{"kind":"outcome_unknown","may_have_run":true}`, "outcome_unknown", false),
		Entry("no claim", `{"kind":"internal"}`, "internal", false),
		Entry("no node's answer", `<html>`, "untyped", false))
})
