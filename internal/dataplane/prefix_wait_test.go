package dataplane_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

// sharedPrompt has a prefix whose prefill takes the assumed engine most of a second.
const sharedPrompt = "case;tokens=32000, question;tokens=16"

var _ = Describe("A request whose prompt prefix a replica is computing for another request", func() {
	var (
		backend  *fakeReplica
		f        *fixture
		begin    chan struct{}
		release  func()
		started  atomic.Bool
		early    atomic.Int32
		ended    chan int
		requests = func() float64 {
			sum := 0.0
			for _, load := range f.server.TakeUpdate().Loads {
				sum += load.Requests
			}
			return sum
		}
	)

	generate := func(ctx context.Context) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/v1/generate", strings.NewReader(defaultBody))
		Expect(err).NotTo(HaveOccurred())
		request.Host = poolHost
		request.Header.Set("Authorization", "Bearer "+courtKey)
		request.Header.Set("Prefix", sharedPrompt)
		request.Header.Set("Accept", caller.StreamType)
		client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		go func() {
			response, err := client.Do(request)
			if err != nil {
				ended <- 0
				return
			}
			_ = response.Body.Close()
			ended <- response.StatusCode
		}()
	}

	BeforeEach(func() {
		begin = make(chan struct{})
		release = sync.OnceFunc(func() { close(begin) })
		ended = make(chan int, 2)
		started.Store(false)
		early.Store(0)
		backend = newReplica(func(writer http.ResponseWriter, request *http.Request) {
			if !started.Load() {
				early.Add(1)
			}
			<-begin
			streaming("a", replica.StreamEnd)(writer, request)
		})
		DeferCleanup(release)
		f = newFixture(backend.address())
		f.engine = &ridgeswitchv1.Engine{Slots: 8, MemoryTokens: 1_000_000}
		f.publish()
		generate(context.Background())
		Eventually(backend.requests, waitTimeout).Should(HaveLen(1))
	})

	It("is sent when the first event of the other one arrives", func() {
		generate(context.Background())
		Eventually(requests, waitTimeout).Should(Equal(2.0))
		Consistently(backend.requests, 100*time.Millisecond).Should(HaveLen(1))
		started.Store(true)
		release()
		Eventually(backend.requests, waitTimeout).Should(HaveLen(2))
		Eventually(ended, waitTimeout).Should(Receive(Equal(http.StatusOK)))
		Eventually(ended, waitTimeout).Should(Receive(Equal(http.StatusOK)))
		Expect(early.Load()).To(Equal(int32(1)))
	})

	It("is not sent if its caller disconnects while it waits", func() {
		ctx, cancel := context.WithCancel(context.Background())
		generate(ctx)
		Eventually(requests, waitTimeout).Should(Equal(2.0))
		cancel()
		Eventually(requests, waitTimeout).Should(Equal(1.0))
		started.Store(true)
		release()
		Eventually(ended, waitTimeout).Should(Receive(Equal(http.StatusOK)))
		Expect(backend.requests()).To(HaveLen(1))
	})
})
