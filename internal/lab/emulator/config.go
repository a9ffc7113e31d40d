package emulator

import (
	"time"

	"github.com/pkg/errors"
)

// Config describes one emulated replica. Sizes are those of one machine.
type Config struct {
	// Address and Zone say where the replica stands.
	Address string
	Zone    string
	// Incarnation is the number of the first incarnation; each crash adds one.
	Incarnation uint64
	// WeightVersion is what the replica starts with, also after a crash.
	WeightVersion string

	// CapacityTokens is the memory for cached chunks and for the output of active
	// requests.
	CapacityTokens uint64
	// PrefillTokensPerSecond is the prefill speed of an idle machine at the
	// start of a prompt.
	PrefillTokensPerSecond float64
	// AttentionTokens is the context length at which attention costs as much as
	// all else, so that a token at this position takes twice as long.
	AttentionTokens float64
	// PrefillSlowdown is the share by which a full decode batch slows prefill.
	PrefillSlowdown float64

	// DecodeStepBase is the time of one decode step of a nearly empty batch.
	DecodeStepBase time.Duration
	// DecodeStepPerSequence is added for each sequence of the batch.
	DecodeStepPerSequence time.Duration
	// DecodeStepPerContextToken is added for each token of context in the batch.
	DecodeStepPerContextToken time.Duration
	// DecodeSlowdown is the share by which a running prefill slows decode.
	DecodeSlowdown float64

	// MaxBatch bounds the sequences that decode together.
	MaxBatch int
	// MaxQueued bounds the requests that wait for prefill; more are refused.
	MaxQueued int

	// WeightLoad is the time to load weights.
	WeightLoad time.Duration
	// Restart is the time from a crash until the replica answers again.
	Restart time.Duration
	// Warming is the time after a start during which the replica is slow and
	// takes few requests.
	Warming time.Duration
	// WarmingSpeed is the share of the full speed while warming.
	WarmingSpeed float64
	// WarmingRequests bounds the active requests while warming.
	WarmingRequests int

	// ReportDelay is how old a report is when it is read.
	ReportDelay time.Duration
	// JournalEvents bounds the events kept for readers that come back.
	JournalEvents int
}

// The two machine classes. Both serve a 70-billion-parameter model with grouped
// query attention in 16 bits: 80 layers of 8 key-value heads of 128 make 320 KiB
// of kept state a token, and the weights take 140 GB.
const (
	// BytesPerToken is the size of the kept state of one token.
	BytesPerToken = 320 << 10
	// largeCapacityTokens is 150 GB left beside the weights on four 80 GB
	// accelerators.
	largeCapacityTokens = 480_000
	// smallerCapacityTokens is 100 GB, on machines that give more of their memory
	// to activations.
	smallerCapacityTokens = 320_000
)

// LargeMemory returns the machine class of the Hivatal deployment.
func LargeMemory() Config {
	return Config{
		Incarnation:               1,
		WeightVersion:             "v1",
		CapacityTokens:            largeCapacityTokens,
		PrefillTokensPerSecond:    5000,
		AttentionTokens:           55_000,
		PrefillSlowdown:           0.5,
		DecodeStepBase:            25 * time.Millisecond,
		DecodeStepPerSequence:     300 * time.Microsecond,
		DecodeStepPerContextToken: 40 * time.Nanosecond,
		DecodeSlowdown:            0.5,
		MaxBatch:                  32,
		MaxQueued:                 64,
		WeightLoad:                2 * time.Second,
		Restart:                   2 * time.Second,
		Warming:                   5 * time.Second,
		WarmingSpeed:              0.5,
		WarmingRequests:           4,
		ReportDelay:               200 * time.Millisecond,
		JournalEvents:             4096,
	}
}

// SmallerMemory returns the machine class of the Lakeshore deployment.
func SmallerMemory() Config {
	config := LargeMemory()
	config.CapacityTokens = smallerCapacityTokens
	return config
}

// Check returns an error that names the first setting the model cannot run with.
func (c Config) Check() error {
	switch {
	case c.CapacityTokens == 0:
		return errors.New("emulator: CapacityTokens must be positive")
	case c.PrefillTokensPerSecond <= 0:
		return errors.New("emulator: PrefillTokensPerSecond must be positive")
	case c.AttentionTokens <= 0:
		return errors.New("emulator: AttentionTokens must be positive")
	case c.DecodeStepBase <= 0:
		return errors.New("emulator: DecodeStepBase must be positive")
	case c.MaxBatch <= 0 || c.MaxQueued <= 0:
		return errors.New("emulator: MaxBatch and MaxQueued must be positive")
	case c.Warming > 0 && (c.WarmingSpeed <= 0 || c.WarmingRequests <= 0):
		return errors.New("emulator: WarmingSpeed and WarmingRequests must be positive when Warming is set")
	}
	return nil
}
