package hollow

import (
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"
)

// Sockets says how hollow nodes reach each other.
type Sockets string

// The kinds of sockets.
const (
	// SharedSockets gives the nodes of a zone one transport.
	SharedSockets Sockets = "shared"
	// PerNodeSockets gives each node its own transport, as real nodes have. The
	// connections grow with the square of the number of nodes.
	PerNodeSockets Sockets = "own"
)

// Bounds of a run.
const (
	maxNodes          = 4096
	maxPerNodeSockets = 90
	maxReplicas       = 65_536
	maxZones          = 64
	maxStretch        = 100
	replicasInPool    = 124
	// DefaultMemoryLimit is the resident memory at which a run stops.
	DefaultMemoryLimit = 12 << 30
)

// Settings say what to run and for how long.
type Settings struct {
	// Nodes counts all nodes, Core those of them that hold control state.
	Nodes, Core int
	Zones       int
	Replicas    int
	Tenants     int
	// Duration is how long to measure once the nodes serve.
	Duration time.Duration
	// StartEvery is the time between the starts of two nodes.
	StartEvery time.Duration
	// ConvergenceTimeout bounds the time until they do.
	ConvergenceTimeout time.Duration
	// Stretch multiplies all periods and timeouts of the nodes beside the tick
	// of the driver, so that more nodes fit the machine. Rates are divided by
	// it, and times of spreading mean little.
	Stretch int
	// Virtual runs all nodes on one goroutine and a virtual clock, so that a
	// machine that is too slow or too busy does not disturb them.
	Virtual bool
	// SimultaneousStart starts all nodes at once, without a configured group: they find
	// each other through seeds and fail open.
	SimultaneousStart bool
	// ChangeEvery is the time between two changes of the configuration; 0
	// means none.
	ChangeEvery time.Duration
	// ChunksPerReplica is what each replica keeps in the index that is measured.
	ChunksPerReplica int
	// IndexDuration is how long that index is fed.
	IndexDuration time.Duration
	Sockets       Sockets
	// MemoryLimit is the resident memory, in bytes, at which the run stops.
	MemoryLimit uint64
	Seed        uint64
}

// Check returns an error that names the first setting that cannot be used.
func (s Settings) Check() error {
	switch {
	case s.Nodes < 1 || s.Nodes > maxNodes:
		return outOfRange("nodes", s.Nodes, 1, maxNodes)
	case s.Core < 1 || s.Core > s.Nodes:
		return outOfRange("core", s.Core, 1, s.Nodes)
	case s.Zones < 1 || s.Zones > maxZones:
		return outOfRange("zones", s.Zones, 1, maxZones)
	case s.Replicas < 1 || s.Replicas > maxReplicas:
		return outOfRange("replicas", s.Replicas, 1, maxReplicas)
	case s.Tenants < 1:
		return errors.New("tenants must be at least 1")
	case s.Duration <= 0:
		return errors.New("the time to measure must be above 0")
	case s.Stretch < 1 || s.Stretch > maxStretch:
		return outOfRange("stretch", s.Stretch, 1, maxStretch)
	case s.StartEvery <= 0:
		return errors.New("the time between the starts of two nodes must be above 0")
	case s.Sockets != SharedSockets && s.Sockets != PerNodeSockets:
		return errors.Errorf("sockets are %q; use %q or %q", s.Sockets, SharedSockets, PerNodeSockets)
	case s.Sockets == PerNodeSockets && s.Nodes > maxPerNodeSockets:
		return errors.Errorf("%d nodes with own sockets need too many connections; use at most %d, or shared sockets", s.Nodes, maxPerNodeSockets)
	}
	return nil
}

func outOfRange(name string, value, minimum, maximum int) error {
	return errors.Errorf("%s is %d; use %d to %d", name, value, minimum, maximum)
}

// pools is the number of pools that the replicas are spread over.
func (s Settings) pools() int {
	return (s.Replicas + replicasInPool - 1) / replicasInPool
}

// Conditions describe the machine during a run.
type Conditions struct {
	Date       string  `json:"date"`
	Cores      int     `json:"cores"`
	LoadBefore float64 `json:"load_before"`
	LoadAfter  float64 `json:"load_after"`
}

func conditionsNow() Conditions {
	return Conditions{
		Date:       time.Now().UTC().Format(time.RFC3339),
		Cores:      runtime.NumCPU(),
		LoadBefore: loadAverage(),
	}
}

func nodeName(number int) string { return fmt.Sprintf("node-%04d", number) }
