// Package platform is the HTTP stand-in for the platform's list of services and
// their backends, which lags behind the actual state.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// HistoryRecord is one change, as served at GET /lab/history. Times are Unix
// nanoseconds.
type HistoryRecord struct {
	Change
	MadeUnixNano int64 `json:"made_unix_nano"`
	// VisibleUnixNano is the time from which the list includes the change.
	VisibleUnixNano int64 `json:"visible_unix_nano"`
	// FirstServedUnixNano is the time when a list that includes the change was
	// first served; 0 if it was not served yet.
	FirstServedUnixNano int64 `json:"first_served_unix_nano"`
}

// LagSetting is the body of POST /lab/lag.
type LagSetting struct {
	LagMS uint32 `json:"lag_ms"`
}

// Server is the stand-in platform.
type Server struct {
	address string
	clock   standin.Clock

	// mutex guards endpoints.
	mutex     sync.Mutex
	endpoints *LaggingEndpoints
}

// New returns a platform that lists the initial services.
func New(address string, initial Endpoints, lag time.Duration) *Server {
	return &Server{
		address:   address,
		clock:     standin.NewClock(1),
		endpoints: NewLaggingEndpoints(initial, lag),
	}
}

// Run serves on the platform's address until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return standin.Serve(ctx, s.address, s.Handler())
}

// Handler returns the HTTP handler of the platform.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/services", s.services)
	mux.HandleFunc("POST /lab/services", s.change)
	mux.HandleFunc("POST /lab/lag", s.setLag)
	mux.HandleFunc("GET /lab/history", s.history)
	return mux
}

func (s *Server) services(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	endpoints := s.endpoints.Serve(s.clock.Now())
	s.mutex.Unlock()
	standin.WriteJSON(w, http.StatusOK, endpoints)
}

// change applies all changes of a request body, or none if one is invalid.
func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	var body Changes
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	for _, change := range body.Changes {
		if err := change.check(); err != nil {
			standin.WriteJSON(w, http.StatusBadRequest, standin.Problem{Kind: "bad_change", Message: err.Error()})
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	for _, change := range body.Changes {
		_ = s.endpoints.Change(now, change)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setLag(w http.ResponseWriter, r *http.Request) {
	var setting LagSetting
	if !standin.ReadJSON(w, r, &setting) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endpoints.SetLag(time.Duration(setting.LagMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) history(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	records := s.endpoints.History()
	s.mutex.Unlock()
	shown := make([]HistoryRecord, len(records))
	for position, record := range records {
		shown[position] = s.historyRecord(record)
	}
	standin.WriteLines(w, shown)
}

func (s *Server) historyRecord(record Record) HistoryRecord {
	shown := HistoryRecord{
		Change:          record.Change,
		MadeUnixNano:    s.clock.UnixNano(record.Made),
		VisibleUnixNano: s.clock.UnixNano(record.Visible),
	}
	if record.Served {
		shown.FirstServedUnixNano = s.clock.UnixNano(record.FirstServed)
	}
	return shown
}
