// Package store is the HTTP stand-in for a store of cached chunks. Replicas push
// chunks to it and pull chunks from it; nodes read its events and its report in
// the same way as those of a replica.
package store

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// Settings configure one stand-in store. Feed and ReportEvery are in
// real time, Links in model time.
type Settings struct {
	Address        string
	Zone           string
	Incarnation    uint64
	CapacityTokens uint64
	// TimeScale is the factor by which transfers are faster than on real links.
	TimeScale   float64
	Seed        uint64
	Links       emulator.LinkModel
	Feed        emulator.FeedPlan
	ReportEvery time.Duration
}

// journalEvents is the number of events kept for readers that reconnect. A reader
// that has missed more gets a reset event.
const journalEvents = 16384

// Server is one stand-in store.
type Server struct {
	settings Settings
	clock    standin.Clock
	faults   *standin.FaultPlan

	// mutex guards the model and changed, which is closed and replaced when the
	// journal grows.
	mutex   sync.Mutex
	model   *emulator.Store
	changed chan struct{}
}

// New returns an empty store.
func New(settings Settings) (*Server, error) {
	if settings.TimeScale <= 0 || settings.ReportEvery <= 0 || settings.CapacityTokens == 0 {
		return nil, errors.New("store: TimeScale, ReportEvery and CapacityTokens must be positive")
	}
	if err := settings.Feed.Check(); err != nil {
		return nil, err
	}
	return &Server{
		settings: settings,
		clock:    standin.NewClock(settings.TimeScale),
		faults:   standin.NewFaultPlan(settings.Seed),
		model:    emulator.NewStore(settings.CapacityTokens, settings.Incarnation, journalEvents),
		changed:  make(chan struct{}),
	}, nil
}

// Run serves on the store's address until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return standin.Serve(ctx, s.settings.Address, s.Handler())
}

// RunListener serves on a listener until the context ends.
func (s *Server) RunListener(ctx context.Context, listener net.Listener) error {
	return standin.ServeListener(ctx, listener, s.Handler())
}

// Handler returns the store's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(protocol.PathEvents, &standin.EventStream{
		Source:      s,
		Clock:       s.clock,
		Plan:        s.scaledFeed(),
		Seed:        s.settings.Seed,
		Drop:        s.faults.DropEvent,
		ReportEvery: s.settings.ReportEvery,
	})
	mux.HandleFunc("GET "+protocol.PathReport, s.report)
	mux.HandleFunc("GET "+protocol.PathChunks+"{hash}", s.get)
	mux.HandleFunc("PUT "+protocol.PathChunks+"{hash}", s.put)
	mux.HandleFunc("POST /lab/faults", s.setFaults)
	mux.HandleFunc("POST /lab/empty", s.empty)
	return mux
}

// EventsAfter implements standin.EventSource.
func (s *Server) EventsAfter(position standin.Position) ([]protocol.Event, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return standin.JournalAfter(s.model.Journal(), position, s.model.Snapshot), s.changed
}

// Report implements standin.EventSource.
func (s *Server) Report() protocol.Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.Report()
}

func (s *Server) scaledFeed() emulator.FeedPlan {
	plan := s.settings.Feed
	scaled := func(real time.Duration) time.Duration {
		return time.Duration(float64(real) * s.settings.TimeScale)
	}
	plan.Delay = scaled(plan.Delay)
	plan.Jitter = scaled(plan.Jitter)
	plan.ReorderBy = scaled(plan.ReorderBy)
	return plan
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Report())
}

// get serves a chunk after the simulated transfer time.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	hash, err := emulator.ParseHash(r.PathValue("hash"))
	if err != nil {
		standin.WriteJSON(w, http.StatusBadRequest, standin.Problem{Kind: "bad_hash", Message: "the part's name must be a hexadecimal chain hash"})
		return
	}
	s.mutex.Lock()
	chunk, kept := s.model.Get(hash)
	s.mutex.Unlock()
	if !kept {
		standin.WriteJSON(w, http.StatusNotFound, standin.Problem{Kind: "not_kept", Message: "the part is not kept here; compute it"})
		return
	}
	if s.transfer(r, chunk) == nil {
		standin.WriteJSON(w, http.StatusOK, chunk)
	}
}

// put stores a chunk that a replica pushes, after the simulated transfer time.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var chunk emulator.CachedChunk
	if !standin.ReadJSON(w, r, &chunk) {
		return
	}
	if emulator.FormatHash(chunk.Hash) != r.PathValue("hash") || chunk.Tokens == 0 {
		standin.WriteJSON(w, http.StatusBadRequest, standin.Problem{Kind: "bad_part", Message: "the part must bear the name in the path and a positive length"})
		return
	}
	if s.transfer(r, chunk) != nil {
		return
	}
	s.change(func() { s.model.Put(chunk) })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) transfer(r *http.Request, chunk emulator.CachedChunk) error {
	links := s.settings.Links
	links.Slowdown = s.faults.Current().SlowLink
	span := links.TransferTime(s.settings.Zone, r.Header.Get(standin.HeaderZone), uint64(chunk.Tokens))
	return standin.Wait(r.Context(), s.clock.Real(span))
}

// change applies an action to the model and notifies the readers of events.
func (s *Server) change(action func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	action()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := standin.ReadFaults(w, r)
	if !ok {
		return
	}
	if faults.Crash {
		s.change(s.model.Empty)
	}
	faults.Crash = false
	s.faults.Set(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}

// empty discards all chunks, as when the store restarts after a failure.
func (s *Server) empty(w http.ResponseWriter, _ *http.Request) {
	s.change(s.model.Empty)
	w.WriteHeader(http.StatusNoContent)
}
