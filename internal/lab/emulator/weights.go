package emulator

import (
	"fmt"
	"time"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

// weights is what the replica has loaded and is loading. Cached chunks stay in
// memory over a change of weights: only a caller's salt keeps them apart.
type weights struct {
	version      string
	target       string
	loadedAt     time.Duration
	highestEpoch uint64
}

func (w *weights) loading() bool { return w.target != "" }

func (w *weights) finish() {
	w.version = w.target
	w.target = ""
}

// StaleEpochError refuses a command of a node that lost its command of the
// replica.
type StaleEpochError struct {
	Epoch   uint64
	Highest uint64
}

// Error names the remedy.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d is below %d, which this replica has seen; take a newer grant before commanding it", e.Epoch, e.Highest)
}

// CommandOutcome tells what an accepted weights command led to.
type CommandOutcome int

// The outcomes of accepted commands.
const (
	// CommandLoaded means that the version is loaded already.
	CommandLoaded CommandOutcome = iota + 1
	// CommandLoading means that the version is being loaded; the report shows it
	// when that is done.
	CommandLoading
)

// Command starts to load weights, in place of any load under way. It returns a
// *StaleEpochError for an epoch below the highest seen in this incarnation, and a
// *RefusedError while the replica is down.
func (r *Replica) Command(now time.Duration, command protocol.WeightsCommand) (CommandOutcome, error) {
	r.Advance(now)
	if now < r.upAt {
		return 0, &RefusedError{Reason: RefusedDown}
	}
	if command.Epoch < r.weights.highestEpoch {
		return 0, &StaleEpochError{Epoch: command.Epoch, Highest: r.weights.highestEpoch}
	}
	r.weights.highestEpoch = command.Epoch
	switch {
	case r.weights.target == command.WeightVersion:
		return CommandLoading, nil
	case !r.weights.loading() && r.weights.version == command.WeightVersion:
		return CommandLoaded, nil
	}
	r.weights.target = command.WeightVersion
	r.weights.loadedAt = now + r.config.WeightLoad
	r.recordReport()
	return CommandLoading, nil
}

// WeightVersion returns the loaded version, or "" while a load is under way.
func (r *Replica) WeightVersion() string {
	if r.weights.loading() {
		return ""
	}
	return r.weights.version
}
