package replica_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/store"
)

// timeout limits every wait for a network operation.
const timeout = 10 * time.Second

// testReplica is a running stand-in replica.
type testReplica struct {
	server  *replica.Server
	address string
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

func serve(run func(context.Context, net.Listener) error, listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(run(ctx, listener)).To(Succeed())
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
}

func start(storeAddress string) testReplica {
	listener := listen()
	model := emulator.LargeMemory()
	model.Address = listener.Addr().String()
	model.Zone = "z1"
	settings := replica.DefaultSettings(model)
	settings.TimeScale = 100
	settings.Store = storeAddress
	settings.WeightLoad = 20 * time.Millisecond
	settings.ReportDelay = time.Millisecond
	settings.ReportEvery = 5 * time.Millisecond
	server, err := replica.New(settings, false)
	Expect(err).NotTo(HaveOccurred())
	serve(server.RunListener, listener)
	return testReplica{server: server, address: model.Address}
}

func (m testReplica) request(ctx context.Context, id string, change func(http.Header)) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address+protocol.PathGenerate, strings.NewReader("{}"))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range map[string]string{
		protocol.HeaderModel: "model", protocol.HeaderCacheSalt: "salt", protocol.HeaderRequestID: id,
		protocol.HeaderAttemptID: "attempt-" + id, protocol.HeaderAttempt: "1", standin.HeaderTenant: "tenant",
		protocol.HeaderPrefix: "a;tokens=2000, b;tokens=3000", protocol.HeaderOutputTokens: "20",
	} {
		request.Header.Set(name, value)
	}
	if change != nil {
		change(request.Header)
	}
	return request
}

func (m testReplica) generate(id string, change func(http.Header)) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return do(m.request(ctx, id, change))
}

func do(request *http.Request) (*http.Response, []byte, error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response, body, err
}

func (m testReplica) post(path, body string) int {
	response, err := http.Post("http://"+m.address+path, "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

// awaitEvent reads an event stream until an event matches, and fails the test if the
// stream ends before.
func awaitEvent(address string, wanted func(protocol.Event) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	Expect(readEvents(ctx, address, wanted)).To(BeTrue(), "the event stream ended without a matching event")
}

// readEvents reads an event stream until an event matches or the stream ends. It
// reports whether an event matched.
func readEvents(ctx context.Context, address string, wanted func(protocol.Event) bool) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+protocol.PathEvents, nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var event protocol.Event
		Expect(json.Unmarshal(lines.Bytes(), &event)).To(Succeed())
		if wanted(event) {
			return true
		}
	}
	return false
}

func (m testReplica) last() replica.ExecutionRecord {
	executions := m.server.Executions()
	return executions[len(executions)-1]
}

var _ = Describe("Server", func() {
	var instance testReplica
	BeforeEach(func() { instance = start("") })

	It("sends a complete response with the attempt ID, the weight version and the reused tokens", func() {
		response, body, err := instance.generate("r1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(standin.CheckComplete("r1", body)).To(Succeed())
		Expect(response.Header.Get(protocol.HeaderAttemptID)).To(Equal("attempt-r1"))
		Expect(response.Header.Get(protocol.HeaderWeightVersion)).To(Equal("v1"))
		response, _, err = instance.generate("r2", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get(protocol.HeaderReusedTokens)).To(Equal("5000"))
		Expect(instance.last().Outcome).To(Equal("completed"))
		Expect(instance.last().Delivered).To(BeTrue())
	})

	It("streams a complete response, or one that is visibly truncated", func() {
		stream := func(header http.Header) { header.Set("Accept", "text/event-stream") }
		_, body, err := instance.generate("r1", stream)
		Expect(err).NotTo(HaveOccurred())
		check := standin.NewStreamCheck("r1")
		for _, block := range strings.Split(strings.TrimSpace(string(body)), "\n\n") {
			name, data := "", block
			if rest, named := strings.CutPrefix(block, "event: "); named {
				name, data, _ = strings.Cut(rest, "\n")
			}
			check.Event(name, strings.TrimPrefix(data, "data: "))
		}
		Expect(check.Err()).To(Succeed())
		Expect(instance.post("/lab/faults", `{"cut_ratio":1,"cut_at_byte":60}`)).To(Equal(http.StatusOK))
		_, body, err = instance.generate("r2", stream)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(HaveLen(60))
		Expect(instance.last().Delivered).To(BeFalse())
	})

	It("truncates a non-streamed response at a byte, or drops it after the run", func() {
		Expect(instance.post("/lab/faults", `{"cut_ratio":1,"cut_at_byte":10}`)).To(Equal(http.StatusOK))
		_, body, err := instance.generate("r1", nil)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(HaveLen(10))
		Expect(instance.post("/lab/faults", `{"cut_ratio":1,"cut_at_byte":-1}`)).To(Equal(http.StatusOK))
		_, _, err = instance.generate("r2", nil)
		Expect(err).To(HaveOccurred())
		Expect(instance.last().Started).To(BeTrue())
	})

	It("marks refused requests as not run, and records refusals by fault", func() {
		Expect(instance.post("/lab/faults", `{"refuse_ratio":1}`)).To(Equal(http.StatusOK))
		response, _, err := instance.generate("r1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(protocol.HeaderNotRun)).To(Equal("true"))
		Expect(instance.last().Outcome).To(Equal("refused"))
		Expect(instance.last().Started).To(BeFalse())
		response, _, err = instance.generate("r2", func(header http.Header) { header.Set(protocol.HeaderPrefix, "a;tokens=none") })
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(response.Header.Get(protocol.HeaderNotRun)).To(Equal("true"))
		Expect(response.Header.Get(protocol.HeaderAttemptID)).To(Equal("attempt-r2"))
	})

	It("cancels a request whose client has disconnected", func() {
		ctx, cancel := context.WithCancel(context.Background())
		response, err := http.DefaultClient.Do(instance.request(ctx, "r1", func(header http.Header) {
			header.Set("Accept", "text/event-stream")
			header.Set(protocol.HeaderOutputTokens, "60000")
		}))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		_ = response.Body.Close()
		awaitEvent(instance.address, func(event protocol.Event) bool {
			return event.Report != nil && event.Report.ActiveRequests == 0
		})
		Expect(instance.last().Outcome).To(Equal("cancelled"))
	})

	It("loads weights, rejects older epochs, and records reuse across weight versions under an unchanged cache salt", func() {
		_, _, err := instance.generate("r1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(instance.post(protocol.PathWeights, `{"weight_version":"v2","epoch":5,"holder":"n"}`)).To(Equal(http.StatusAccepted))
		Expect(instance.post(protocol.PathWeights, `{"weight_version":"v3","epoch":4,"holder":"o"}`)).To(Equal(http.StatusConflict))
		awaitEvent(instance.address, func(event protocol.Event) bool {
			return event.Report != nil && event.Report.WeightVersion == "v2"
		})
		_, _, err = instance.generate("r2", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(instance.last().WeightVersion).To(Equal("v2"))
		Expect(instance.last().ReusedChunks[0].WeightVersion).To(Equal("v1"))
	})

	It("aborts open responses in a crash", func() {
		response, err := http.DefaultClient.Do(instance.request(context.Background(), "r1", func(header http.Header) {
			header.Set("Accept", "text/event-stream")
			header.Set(protocol.HeaderOutputTokens, "60000")
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(instance.post("/lab/faults", `{"crash":true}`)).To(Equal(http.StatusOK))
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
		Expect(instance.last().Outcome).To(Equal("crashed"))
		_, _, err = instance.generate("r2", nil)
		Expect(err).To(HaveOccurred())
	})

	It("ends open event streams in a crash", func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		crashed := false
		readEvents(ctx, instance.address, func(protocol.Event) bool {
			if !crashed {
				Expect(instance.post("/lab/faults", `{"crash":true}`)).To(Equal(http.StatusOK))
			}
			crashed = true
			return false
		})
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	It("pulls chunks from a peer, and from the store to which they were pushed", func() {
		listener := listen()
		kept, err := store.New(store.Settings{
			Zone: "z1", Incarnation: 1, CapacityTokens: 100_000, TimeScale: 100,
			Links: emulator.DefaultLinks(0), ReportEvery: time.Minute,
		})
		Expect(err).NotTo(HaveOccurred())
		serve(kept.RunListener, listener)
		producer := start(listener.Addr().String())
		_, _, err = producer.generate("made", nil)
		Expect(err).NotTo(HaveOccurred())
		storedChunks := 0
		awaitEvent(listener.Addr().String(), func(event protocol.Event) bool {
			storedChunks += len(event.Chunks)
			return storedChunks == 2
		})
		for id, source := range map[string]string{"from-peer": producer.address, "from-store": listener.Addr().String()} {
			puller := start("")
			response, _, err := puller.generate(id, func(header http.Header) {
				header.Set(protocol.HeaderPullSource, source)
				header.Set(protocol.HeaderPullChunks, "0-1")
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Header.Get(protocol.HeaderReusedTokens)).To(Equal("5000"), id)
		}
	})
})
