package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Faults are the faults that a stand-in injects. A ratio is the share of requests
// (of events for DropEventRatio) that are affected, from 0 to 1.
type Faults struct {
	// RefuseRatio refuses requests and states in the response that they did not run.
	RefuseRatio float64 `json:"refuse_ratio"`
	// TruncateRatio truncates responses after TruncateAtByte bytes of the body. A
	// negative TruncateAtByte closes the connection without a response: a replica
	// does so after the run, or at the first token of a streamed response.
	TruncateRatio  float64 `json:"cut_ratio"`
	TruncateAtByte int     `json:"cut_at_byte"`
	// HangRatio runs requests and never sends a response.
	HangRatio float64 `json:"hang_ratio"`
	// SlowLink divides the bandwidth of transfers; 0 means 1.
	SlowLink float64 `json:"slow_link"`
	// DropEventRatio drops cache events in addition to the losses of the feed plan.
	DropEventRatio float64 `json:"drop_event_ratio"`
	// Draining refuses all new requests.
	Draining bool `json:"draining"`
	// Crash discards everything in memory once, when the faults are set.
	Crash bool `json:"crash"`
}

// Check returns an error if a setting is out of range.
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

// ReadFaults reads faults from a request body. If they are malformed or out of
// range, it writes a Problem as the response and returns false.
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

// FaultPlan decides at random which requests and events the current faults affect.
// It is safe for concurrent use.
type FaultPlan struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults Faults
}

// faultStream selects a random stream that is independent of others with the same
// seed.
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

// Current returns the current faults.
func (p *FaultPlan) Current() Faults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// RequestFaults are the faults that apply to one request.
type RequestFaults struct {
	Refuse   bool
	Hang     bool
	Truncate bool
	// TruncateAtByte counts bytes of the body.
	TruncateAtByte int
}

// Draw returns the faults of the next request.
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

// DropEvent reports whether to drop the next event.
func (p *FaultPlan) DropEvent() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.random.Float64() < p.faults.DropEventRatio
}

// TruncatingWriter forwards a limited number of bytes of a response body, and then
// aborts the connection so that the client sees a truncated response.
type TruncatingWriter struct {
	http.ResponseWriter
	remaining int
}

// NewTruncatingWriter returns a writer that applies the truncation in faults, or w
// if there is none. It panics with http.ErrAbortHandler if TruncateAtByte is
// negative.
func NewTruncatingWriter(w http.ResponseWriter, faults RequestFaults) http.ResponseWriter {
	if !faults.Truncate {
		return w
	}
	if faults.TruncateAtByte < 0 {
		panic(http.ErrAbortHandler)
	}
	return &TruncatingWriter{ResponseWriter: w, remaining: faults.TruncateAtByte}
}

// Write forwards data up to the limit and panics with http.ErrAbortHandler when
// the limit is reached.
func (w *TruncatingWriter) Write(data []byte) (int, error) {
	if len(data) < w.remaining {
		w.remaining -= len(data)
		return w.ResponseWriter.Write(data)
	}
	_, _ = w.ResponseWriter.Write(data[:w.remaining])
	w.Flush()
	panic(http.ErrAbortHandler)
}

// Flush sends buffered data to the client.
func (w *TruncatingWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }
