package proxybench

import (
	"time"

	"github.com/pkg/errors"
)

// Settings size a measurement.
type Settings struct {
	// Replicas is the number of replicas behind each proxy.
	Replicas int
	// Connections is the number of callers' connections.
	Connections int
	// Rounds is how often all targets are measured in turn.
	Rounds int
	// SaturationTime is how long each target is saturated in a round.
	SaturationTime time.Duration
	// HalfLoadTime is how long each target is under half load in a round.
	HalfLoadTime time.Duration
	// BodyBytes is the size of a request's and of an answer's body.
	BodyBytes int
}

// DefaultSettings returns a measurement of about ten seconds.
func DefaultSettings() Settings {
	return Settings{
		Replicas:       4,
		Connections:    64,
		Rounds:         8,
		SaturationTime: 150 * time.Millisecond,
		HalfLoadTime:   150 * time.Millisecond,
		BodyBytes:      1 << 10,
	}
}

// check says which setting cannot be used.
func (s Settings) check() error {
	switch {
	case s.Replicas < 1:
		return errors.New("proxybench: set at least one replica")
	case s.Connections < 1:
		return errors.New("proxybench: set at least one connection")
	case s.Rounds < 1:
		return errors.New("proxybench: set at least one round")
	case s.SaturationTime <= 0 || s.HalfLoadTime <= 0:
		return errors.New("proxybench: set times above zero")
	case s.BodyBytes < 0:
		return errors.New("proxybench: set a body of zero or more bytes")
	}
	return nil
}
