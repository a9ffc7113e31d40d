// Package webservice is the HTTP stand-in for a plain web service, such as a
// calendar or a portal. It serves small pages and larger files with a digest;
// their content is derived from the path.
package webservice

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// Limits of the content size; the actual size is derived from the path.
const (
	smallestPageBytes = 1 << 10
	largestPageBytes  = 16 << 10
	smallestFileBytes = 32 << 10
	largestFileBytes  = 512 << 10
	filesPath         = "/files/"
)

// RequestRecord is the ground truth about one request, as served at
// /lab/executions.
type RequestRecord struct {
	Server           string `json:"server"`
	RequestID        string `json:"request_id"`
	Attempt          int    `json:"attempt"`
	AttemptID        string `json:"attempt_id"`
	Method           string `json:"method"`
	Path             string `json:"path"`
	StartedUnixNano  int64  `json:"started_unix_nano"`
	FinishedUnixNano int64  `json:"finished_unix_nano"`
	// Refused is set if the request was refused and not run.
	Refused bool `json:"refused"`
	// Delivered reports whether the complete response was written to the connection.
	Delivered bool `json:"delivered"`
}

// Server is one stand-in backend of a web service.
type Server struct {
	address string
	clock   standin.Clock
	faults  *standin.FaultPlan

	// mutex guards records.
	mutex   sync.Mutex
	records []*RequestRecord
}

// New returns a backend for an address. The seed determines the random faults.
func New(address string, seed uint64) *Server {
	return &Server{
		address: address,
		clock:   standin.NewClock(1),
		faults:  standin.NewFaultPlan(seed),
	}
}

// Run serves on the backend's address until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return standin.Serve(ctx, s.address, s.Handler())
}

// Handler returns the HTTP handler of the backend.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET /lab/executions", s.listRecords)
	mux.HandleFunc("POST /lab/faults", s.setFaults)
	return mux
}

// Content returns the content of the page or file at a path.
func Content(path string) []byte {
	smallest, largest := smallestPageBytes, largestPageBytes
	if strings.HasPrefix(path, filesPath) {
		smallest, largest = smallestFileBytes, largestFileBytes
	}
	seed := xxhash.Sum64String(path)
	size := smallest + int(seed%uint64(largest-smallest))
	line := strconv.FormatUint(seed, 16) + " " + path + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1)[:size])
}

// Digest returns the value of standin.HeaderDigest for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if err := standin.DrainBody(r); err != nil {
		standin.WriteJSON(w, http.StatusRequestEntityTooLarge, standin.Problem{Kind: "bad_body", Message: err.Error()})
		return
	}
	record := s.begin(r)
	faults := s.faults.Draw()
	w.Header().Set(protocol.HeaderRequestID, record.RequestID)
	w.Header().Set(protocol.HeaderAttemptID, record.AttemptID)
	if faults.Refuse || s.faults.Current().Draining {
		s.end(record, func() { record.Refused = true })
		w.Header().Set(protocol.HeaderNotRun, "true")
		w.Header().Set("Retry-After", "1")
		standin.WriteJSON(w, http.StatusServiceUnavailable, standin.Problem{Kind: "busy", Message: "the back end is busy; send the request to another one"})
		return
	}
	defer s.end(record, func() {})
	if faults.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	body := Content(r.URL.Path)
	w.Header().Set(standin.HeaderDigest, Digest(body))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if r.Method == http.MethodHead {
		return
	}
	if _, err := standin.NewTruncatingWriter(w, faults).Write(body); err == nil {
		s.end(record, func() { record.Delivered = true })
	}
}

func (s *Server) begin(r *http.Request) *RequestRecord {
	attempt, err := strconv.Atoi(r.Header.Get(protocol.HeaderAttempt))
	if err != nil {
		attempt = 1
	}
	record := &RequestRecord{
		Server:          s.address,
		RequestID:       r.Header.Get(protocol.HeaderRequestID),
		Attempt:         attempt,
		AttemptID:       r.Header.Get(protocol.HeaderAttemptID),
		Method:          r.Method,
		Path:            r.URL.Path,
		StartedUnixNano: s.now(),
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.records = append(s.records, record)
	return record
}

func (s *Server) end(record *RequestRecord, update func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update()
	record.FinishedUnixNano = s.now()
}

func (s *Server) now() int64 { return s.clock.UnixNano(s.clock.Now()) }

func (s *Server) listRecords(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	records := make([]RequestRecord, len(s.records))
	for position, record := range s.records {
		records[position] = *record
	}
	s.mutex.Unlock()
	standin.WriteLines(w, records)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := standin.ReadFaults(w, r)
	if !ok {
		return
	}
	s.faults.Set(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}
