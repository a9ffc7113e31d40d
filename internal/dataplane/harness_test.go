package dataplane_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	courtKey    = "court-secret"
	schoolKey   = "school-secret"
	poolHost    = "models.example"
	webHost     = "calendar.example"
	poolModel   = "large"
	weightsOne  = "weights-1"
	defaultBody = "the prompt"
	// waitTimeout is the time-out of each wait for a channel or a socket.
	waitTimeout = 5 * time.Second
)

// source is a routing.Source whose state a test sets.
type source struct {
	view    atomic.Pointer[routing.View]
	mutex   sync.Mutex
	refusal error
	// onServing, if set, is called by Serving with the number of calls so far.
	onServing    func(call int)
	servingCalls int
	// onView, if set, is called by View, after it has read the view, with the number of
	// calls so far.
	onView    func(call int64)
	viewCalls atomic.Int64
}

// View returns the newest view.
func (s *source) View() *routing.View {
	view := s.view.Load()
	if s.onView != nil {
		s.onView(s.viewCalls.Add(1))
	}
	return view
}

func (s *source) Serving() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.servingCalls++
	if s.onServing != nil {
		s.onServing(s.servingCalls)
	}
	return s.refusal
}

// fixture is a node with the control state and the clock that it uses.
type fixture struct {
	source *source
	clock  atomic.Int64
	server *dataplane.Server
	front  *httptest.Server
	// replicas and webBackends are the back ends that the next view lists.
	replicas    []routing.Replica
	webBackends []routing.Replica
	limits      *ridgeswitchv1.Limits
	timeout     uint32
	// route is the configuration of the route to the pool; nil for one that sets only
	// targetLatencyMs.
	route *ridgeswitchv1.Route
	// targetLatencyMs is the target latency of the routes; 0 for none.
	targetLatencyMs uint32
	// weightVersion is the weight version that the pool is to run; empty for none.
	weightVersion string
	// sharingDomain is the sharing domain of the tenant court.
	sharingDomain string
	// engine is the configuration of the engine of the pool's replicas; nil for none.
	engine *ridgeswitchv1.Engine
}

// newFixture starts a node with a pool of the given replicas, all of which admit.
func newFixture(replicas ...string) *fixture {
	return newRecordingFixture("", replicas...)
}

// newRecordingFixture starts a node that records its requests in a file.
func newRecordingFixture(recordFile string, replicas ...string) *fixture {
	return newFixtureWith(func(options *dataplane.Options) { options.RecordFile = recordFile }, replicas...)
}

// newFixtureWith starts a node with changed options.
func newFixtureWith(change func(*dataplane.Options), replicas ...string) *fixture {
	f := &fixture{source: &source{}, limits: &ridgeswitchv1.Limits{}, timeout: 10000, sharingDomain: "shared/1"}
	for _, address := range replicas {
		f.replicas = append(f.replicas, routing.Replica{Address: address, Zone: "a", WeightVersion: weightsOne, Admitting: true})
	}
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	options := dataplane.Options{
		Node: "node", Zone: "a", Address: "127.0.0.1:0", Source: f.source,
		Clock: func() time.Duration { return time.Duration(f.clock.Load()) },
		Log:   logrus.NewEntry(log),
	}
	change(&options)
	server, err := dataplane.New(options)
	Expect(err).NotTo(HaveOccurred())
	f.server = server
	f.front = httptest.NewServer(server)
	f.publish()
	DeferCleanup(func() {
		server.Stop()
		f.front.Close()
	})
	return f
}

// publish publishes a new view made of the fixture's fields.
func (f *fixture) publish() {
	pool := &routing.Pool{
		Config: &ridgeswitchv1.Pool{
			Name: "pool", Model: poolModel, RequestTimeoutMs: f.timeout, WeightVersion: f.weightVersion, Engine: f.engine,
		},
		Replicas: append([]routing.Replica(nil), f.replicas...),
	}
	web := &routing.WebService{
		Config:   &ridgeswitchv1.WebService{Name: "calendar", RequestTimeoutMs: f.timeout},
		Replicas: append([]routing.Replica(nil), f.webBackends...),
	}
	f.source.view.Store(&routing.View{
		Revision: 1,
		Tenants: map[routing.KeyDigest]*routing.Tenant{
			digest(courtKey):  {Name: "court", SharingDomain: f.sharingDomain, Limits: f.limits},
			digest(schoolKey): {Name: "school", Walled: true, SharingDomain: "school/1", Limits: f.limits},
		},
		Hosts: map[string]routing.Routes{
			poolHost: {routing.NewRoute(f.poolRoute(), routing.Choice{Destination: routing.Destination{Pool: pool}})},
			webHost: {routing.NewRoute(&ridgeswitchv1.Route{Public: true, TargetLatencyMs: f.targetLatencyMs},
				routing.Choice{Destination: routing.Destination{WebService: web}})},
		},
		Pools:       map[string]*routing.Pool{"pool": pool},
		WebServices: map[string]*routing.WebService{"calendar": web},
	})
}

// poolRoute returns the configuration of the route to the pool.
func (f *fixture) poolRoute() *ridgeswitchv1.Route {
	if f.route != nil {
		return f.route
	}
	return &ridgeswitchv1.Route{TargetLatencyMs: f.targetLatencyMs}
}

func digest(key string) routing.KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return routing.KeyDigest(hex.EncodeToString(sum[:]))
}

// outcome is the result of a request for its caller.
type outcome struct {
	status  int
	header  http.Header
	body    string
	problem caller.Error
	// err is the error of the request or of reading its response.
	err error
}

// header is a header of a request.
type header struct{ name, value string }

// send sends a request to a host and reads the response.
func (f *fixture) send(method, host, path string, headers ...header) outcome {
	request, err := http.NewRequest(method, f.front.URL+path, strings.NewReader(defaultBody))
	Expect(err).NotTo(HaveOccurred())
	if method == http.MethodGet {
		request.Body = nil
		request.ContentLength = 0
	}
	request.Host = host
	for _, given := range headers {
		request.Header.Set(given.name, given.value)
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := outcome{status: response.StatusCode, header: response.Header, body: string(body), err: err}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/json") {
		_ = json.Unmarshal(body, &got.problem)
	}
	return got
}

// generate sends a request to the pool with the key of the tenant court.
func (f *fixture) generate(headers ...header) outcome {
	all := append([]header{{"Authorization", "Bearer " + courtKey}, {"Prefix", "case;tokens=32, question;tokens=16"}}, headers...)
	return f.send(http.MethodPost, poolHost, "/v1/generate", all...)
}

// generateUntil sends a request to the pool, and disconnects when the context ends.
func (f *fixture) generateUntil(ctx context.Context) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL, strings.NewReader(defaultBody))
	if err != nil {
		return
	}
	request.Host = poolHost
	request.Header.Set("Authorization", "Bearer "+courtKey)
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// fakeReplica is a replica with a scripted response.
type fakeReplica struct {
	server *httptest.Server
	mutex  sync.Mutex
	seen   []*http.Request
	bodies []string
}

// newReplica starts a replica. It sets the attempt ID of the response before it calls the
// script.
func newReplica(script http.HandlerFunc) *fakeReplica {
	backend := &fakeReplica{}
	backend.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		backend.mutex.Lock()
		backend.seen = append(backend.seen, request.Clone(request.Context()))
		backend.bodies = append(backend.bodies, string(body))
		backend.mutex.Unlock()
		writer.Header().Set(replica.HeaderAttemptID, request.Header.Get(replica.HeaderAttemptID))
		script(writer, request)
	}))
	DeferCleanup(backend.server.Close)
	return backend
}

// address returns the replica's host and port.
func (r *fakeReplica) address() string {
	return r.server.Listener.Addr().String()
}

// requests returns the requests that the replica has seen.
func (r *fakeReplica) requests() []*http.Request {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]*http.Request(nil), r.seen...)
}

// respondWith returns a script that sends a complete response.
func respondWith(text string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(replica.HeaderWeightVersion, weightsOne)
		_, _ = io.WriteString(writer, text)
	}
}

// refusing returns a script that refuses the request and marks it as not run.
func refusing() http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(replica.HeaderNotRun, "true")
		writer.Header().Set("Retry-After", "3")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// aborting returns a script that closes the connection without a response.
func aborting() http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
}

// streaming returns a script that streams events and flushes each of them.
func streaming(events ...string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", caller.StreamType)
		for _, event := range events {
			_, _ = fmt.Fprintf(writer, "data: %s\n\n", event)
			writer.(http.Flusher).Flush()
		}
	}
}

// closedAddress returns an address on which nothing listens.
func closedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	return address
}

// fillRetryBudget sends enough first attempts for the budget to permit one retry.
func (f *fixture) fillRetryBudget() {
	for range 5 {
		Expect(f.generate().status).To(Equal(http.StatusOK))
	}
}

// clockAtZero is a clock that does not advance.
func clockAtZero() time.Duration { return 0 }
