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

// patience bounds every wait on a socket.
const patience = 10 * time.Second

// machine is a running stand-in.
type machine struct {
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

func start(storeAddress string) machine {
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
	return machine{server: server, address: model.Address}
}

func (m machine) request(ctx context.Context, id string, change func(http.Header)) *http.Request {
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

func (m machine) generate(id string, change func(http.Header)) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

func (m machine) post(path, body string) int {
	response, err := http.Post("http://"+m.address+path, "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

// awaitEvent reads an event stream until an event is the wanted one.
func awaitEvent(address string, wanted func(protocol.Event) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	Expect(readEvents(ctx, address, wanted)).To(BeTrue(), "the event stream ended without the wanted event")
}

// readEvents reads an event stream until an event is the wanted one, or until it
// ends.
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

func (m machine) last() replica.ExecutionRecord {
	executions := m.server.Executions()
	return executions[len(executions)-1]
}

var _ = Describe("Server", func() {
	var one machine
	BeforeEach(func() { one = start("") })

	It("answers whole, with the echo and what was reused", func() {
		response, body, err := one.generate("r1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(standin.CheckComplete("r1", body)).To(Succeed())
		Expect(response.Header.Get(protocol.HeaderAttemptID)).To(Equal("attempt-r1"))
		Expect(response.Header.Get(protocol.HeaderWeightVersion)).To(Equal("v1"))
		response, _, err = one.generate("r2", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get(protocol.HeaderReusedTokens)).To(Equal("5000"))
		Expect(one.last().Outcome).To(Equal("completed"))
		Expect(one.last().Delivered).To(BeTrue())
	})

	It("streams a complete answer, or one that is seen to be cut", func() {
		stream := func(header http.Header) { header.Set("Accept", "text/event-stream") }
		_, body, err := one.generate("r1", stream)
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
		Expect(one.post("/lab/faults", `{"cut_ratio":1,"cut_at_byte":60}`)).To(Equal(http.StatusOK))
		_, body, err = one.generate("r2", stream)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(HaveLen(60))
		Expect(one.last().Delivered).To(BeFalse())
	})

	It("cuts whole answers at a byte, or drops them after the run", func() {
		Expect(one.post("/lab/faults", `{"cut_ratio":1,"cut_at_byte":10}`)).To(Equal(http.StatusOK))
		_, body, err := one.generate("r1", nil)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(HaveLen(10))
		Expect(one.post("/lab/faults", `{"cut_ratio":1,"cut_at_byte":-1}`)).To(Equal(http.StatusOK))
		_, _, err = one.generate("r2", nil)
		Expect(err).To(HaveOccurred())
		Expect(one.last().Started).To(BeTrue())
	})

	It("promises that what it refuses has not run, and logs the arrival", func() {
		Expect(one.post("/lab/faults", `{"refuse_ratio":1}`)).To(Equal(http.StatusOK))
		response, _, err := one.generate("r1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(protocol.HeaderNotRun)).To(Equal("true"))
		Expect(one.last().Outcome).To(Equal("refused"))
		Expect(one.last().Started).To(BeFalse())
		response, _, err = one.generate("r2", func(header http.Header) { header.Set(protocol.HeaderPrefix, "a;tokens=none") })
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(response.Header.Get(protocol.HeaderNotRun)).To(Equal("true"))
		Expect(response.Header.Get(protocol.HeaderAttemptID)).To(Equal("attempt-r2"))
	})

	It("stops a request whose caller has gone", func() {
		ctx, leave := context.WithCancel(context.Background())
		response, err := http.DefaultClient.Do(one.request(ctx, "r1", func(header http.Header) {
			header.Set("Accept", "text/event-stream")
			header.Set(protocol.HeaderOutputTokens, "60000")
		}))
		Expect(err).NotTo(HaveOccurred())
		leave()
		_ = response.Body.Close()
		awaitEvent(one.address, func(event protocol.Event) bool {
			return event.Report != nil && event.Report.ActiveRequests == 0
		})
		Expect(one.last().Outcome).To(Equal("cancelled"))
	})

	It("loads weights, refuses older epochs, and shows a salt that did not follow", func() {
		_, _, err := one.generate("r1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(one.post(protocol.PathWeights, `{"weight_version":"v2","epoch":5,"holder":"n"}`)).To(Equal(http.StatusAccepted))
		Expect(one.post(protocol.PathWeights, `{"weight_version":"v3","epoch":4,"holder":"o"}`)).To(Equal(http.StatusConflict))
		awaitEvent(one.address, func(event protocol.Event) bool {
			return event.Report != nil && event.Report.WeightVersion == "v2"
		})
		_, _, err = one.generate("r2", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(one.last().WeightVersion).To(Equal("v2"))
		Expect(one.last().ReusedChunks[0].WeightVersion).To(Equal("v1"))
	})

	It("breaks open answers in a crash", func() {
		response, err := http.DefaultClient.Do(one.request(context.Background(), "r1", func(header http.Header) {
			header.Set("Accept", "text/event-stream")
			header.Set(protocol.HeaderOutputTokens, "60000")
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(one.post("/lab/faults", `{"crash":true}`)).To(Equal(http.StatusOK))
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
		Expect(one.last().Outcome).To(Equal("crashed"))
		_, _, err = one.generate("r2", nil)
		Expect(err).To(HaveOccurred())
	})

	It("ends open event streams in a crash", func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		crashed := false
		readEvents(ctx, one.address, func(protocol.Event) bool {
			if !crashed {
				Expect(one.post("/lab/faults", `{"crash":true}`)).To(Equal(http.StatusOK))
			}
			crashed = true
			return false
		})
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	It("pulls parts from a peer, and from the store that they were pushed to", func() {
		listener := listen()
		kept, err := store.New(store.Settings{
			Zone: "z1", Incarnation: 1, CapacityTokens: 100_000, TimeScale: 100,
			Links: emulator.DefaultLinks(0), ReportEvery: time.Minute,
		})
		Expect(err).NotTo(HaveOccurred())
		serve(kept.RunListener, listener)
		maker := start(listener.Addr().String())
		_, _, err = maker.generate("made", nil)
		Expect(err).NotTo(HaveOccurred())
		storeHas := 0
		awaitEvent(listener.Addr().String(), func(event protocol.Event) bool {
			storeHas += len(event.Chunks)
			return storeHas == 2
		})
		for id, source := range map[string]string{"from-peer": maker.address, "from-store": listener.Addr().String()} {
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
