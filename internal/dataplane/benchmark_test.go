package dataplane_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// immediateBackends is a dataplane.BackendEdge that responds to every attempt at once.
type immediateBackends struct{}

func (immediateBackends) Send(context.Context, dataplane.Attempt) (dataplane.Response, error) {
	return immediateResponse{}, nil
}

// immediateResponse is a complete response without a body.
type immediateResponse struct{}

func (immediateResponse) Status() int                    { return http.StatusOK }
func (immediateResponse) Header() http.Header            { return http.Header{} }
func (immediateResponse) WeightVersion() string          { return "" }
func (immediateResponse) Streamed() bool                 { return false }
func (immediateResponse) ReadAll() ([]byte, bool, error) { return nil, true, nil }
func (immediateResponse) Next() ([]byte, error)          { return nil, io.EOF }
func (immediateResponse) LastEventID() string            { return "" }
func (immediateResponse) Close()                         {}

// newBenchmarkServer returns a server with 18 replicas, 4 of which are also back ends of a
// web service.
func newBenchmarkServer(b *testing.B) *dataplane.Server {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	control := &source{}
	started := time.Now()
	server, err := dataplane.New(dataplane.Options{
		Node: "node", Zone: "a", Address: "127.0.0.1:0", Source: control,
		Clock: func() time.Duration { return time.Since(started) },
		Log:   logrus.NewEntry(log),
		Edges: dataplane.Edges{Replicas: immediateBackends{}, WebServices: immediateBackends{}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Stop)
	pool := &routing.Pool{Config: &ridgeswitchv1.Pool{Name: "pool", Model: poolModel}}
	for number := range 18 {
		pool.Replicas = append(pool.Replicas, routing.Replica{
			Address: "10.0.0." + string(rune('a'+number)) + ":1", Zone: "a", WeightVersion: weightsOne, Admitting: true, Slots: 64,
		})
	}
	web := &routing.WebService{Config: &ridgeswitchv1.WebService{Name: "calendar"}, Replicas: pool.Replicas[:4]}
	control.view.Store(&routing.View{
		Revision: 1,
		Tenants:  map[routing.KeyDigest]*routing.Tenant{digest(courtKey): {Name: "court", SharingDomain: "shared/1", Limits: &ridgeswitchv1.Limits{}}},
		Hosts: map[string]routing.Routes{
			poolHost: {routing.NewRoute(&ridgeswitchv1.Route{TargetLatencyMs: 1000}, routing.Choice{Destination: routing.Destination{Pool: pool}})},
			webHost:  {routing.NewRoute(&ridgeswitchv1.Route{Public: true}, routing.Choice{Destination: routing.Destination{WebService: web}})},
		},
		Pools:       map[string]*routing.Pool{"pool": pool},
		WebServices: map[string]*routing.WebService{"calendar": web},
	})
	return server
}

func benchmarkRequests(b *testing.B, host string, header http.Header) {
	b.Helper()
	server := newBenchmarkServer(b)
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodPost, "/", nil)
		request.Host = host
		request.Header = header
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code, recorder.Body)
		}
	}
}

func BenchmarkPoolRequest(b *testing.B) {
	benchmarkRequests(b, poolHost, http.Header{
		"Authorization": {"Bearer " + courtKey}, "Prefix": {"case;tokens=3200, question;tokens=160"}, "Repeatable": {"true"},
	})
}

func BenchmarkWebRequest(b *testing.B) { benchmarkRequests(b, webHost, http.Header{}) }
