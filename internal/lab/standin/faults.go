package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Faults are what a stand-in does wrong on purpose. Ratios are shares of the
// requests, from 0 to 1.
type Faults struct {
	// RefuseRatio refuses requests with the statement that they did not run.
	RefuseRatio float64 `json:"refuse_ratio"`
	// TruncateRatio cuts answers after TruncateAtByte bytes of the body. A negative
	// TruncateAtByte closes the connection with no answer at all, after the request
	// has run.
	TruncateRatio  float64 `json:"cut_ratio"`
	TruncateAtByte int     `json:"cut_at_byte"`
	// HangRatio runs requests and never answers them.
	HangRatio float64 `json:"hang_ratio"`
	// SlowLink divides the bandwidth of transfers; 0 means 1.
	SlowLink float64 `json:"slow_link"`
	// DropEventRatio loses cache events beside what the feed plan loses.
	DropEventRatio float64 `json:"drop_event_ratio"`
	// Draining refuses all new requests.
	Draining bool `json:"draining"`
	// Crash loses everything in memory once, when the faults are set.
	Crash bool `json:"crash"`
}

// Check returns an error that names a setting out of its range.
func (f Faults) Check() error {
	for _, ratio := range []float64{f.RefuseRatio, f.TruncateRatio, f.HangRatio, f.DropEventRatio} {
		if ratio < 0 || ratio > 1 {
			return errors.Errorf("fault ratio %v must be from 0 to 1", ratio)
		}
	}
	if f.SlowLink < 0 {
		return errors.New("slow_link must not be negative")
	}
	return nil
}

// ReadFaults reads faults from a request's body. When they are malformed or out of
// range, it answers with a Problem and returns false.
func ReadFaults(w http.ResponseWriter, r *http.Request) (Faults, bool) {
	var faults Faults
	if !ReadJSON(w, r, &faults) {
		return Faults{}, false
	}
	if err := faults.Check(); err != nil {
		WriteJSON(w, http.StatusBadRequest, Problem{Kind: "bad_faults", Message: err.Error()})
		return Faults{}, false
	}
	return faults, true
}

// FaultPlan draws from the present faults. It is safe for concurrent use.
type FaultPlan struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults Faults
}

// faultStream separates the draws of the faults from others of the same seed.
const faultStream = 0xfa01

// NewFaultPlan returns a plan without faults.
func NewFaultPlan(seed uint64) *FaultPlan {
	return &FaultPlan{random: rand.New(rand.NewPCG(seed, faultStream))}
}

// Set replaces the faults.
func (p *FaultPlan) Set(faults Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// Current returns the present faults.
func (p *FaultPlan) Current() Faults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// RequestFaults is what the faults do to one request.
type RequestFaults struct {
	Refuse   bool
	Hang     bool
	Truncate bool
	// TruncateAtByte counts bytes of the body.
	TruncateAtByte int
}

// Draw returns the fate of the next request.
func (p *FaultPlan) Draw() RequestFaults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return RequestFaults{
		Refuse:         p.random.Float64() < p.faults.RefuseRatio,
		Hang:           p.random.Float64() < p.faults.HangRatio,
		Truncate:       p.random.Float64() < p.faults.TruncateRatio,
		TruncateAtByte: p.faults.TruncateAtByte,
	}
}

// DropEvent reports whether the next event is to be lost.
func (p *FaultPlan) DropEvent() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.Float64() < p.faults.DropEventRatio
}

// TruncatingWriter passes an answer on up to a number of bytes of its body, and then
// ends the connection so that the client sees a broken answer.
type TruncatingWriter struct {
	http.ResponseWriter
	remaining int
}

// NewTruncatingWriter returns the writer that a fate calls for.
func NewTruncatingWriter(w http.ResponseWriter, faults RequestFaults) http.ResponseWriter {
	if !faults.Truncate {
		return w
	}
	if faults.TruncateAtByte < 0 {
		panic(http.ErrAbortHandler)
	}
	return &TruncatingWriter{ResponseWriter: w, remaining: faults.TruncateAtByte}
}

// Write sends what fits before the cut and panics with http.ErrAbortHandler when
// it is reached.
func (w *TruncatingWriter) Write(data []byte) (int, error) {
	if len(data) < w.remaining {
		w.remaining -= len(data)
		return w.ResponseWriter.Write(data)
	}
	_, _ = w.ResponseWriter.Write(data[:w.remaining])
	w.Flush()
	panic(http.ErrAbortHandler)
}

// Flush sends what has been written.
func (w *TruncatingWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }
