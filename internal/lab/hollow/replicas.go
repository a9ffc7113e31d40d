package hollow

import (
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// replicas stand for the model replicas: they report at once and load weights
// in no time.
type replicas struct {
	mutex sync.Mutex
	// versions are the weights of the replicas that were commanded to load some, by
	// address. All others have weightVersion.
	versions map[string]string
}

func newReplicas() *replicas { return &replicas{versions: map[string]string{}} }

// load loads the weights that a command names.
func (r *replicas) load(command control.Command) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.versions[command.Address] = command.WeightVersion
}

// report returns what a replica reports of itself.
func (r *replicas) report(address string, now time.Duration) control.ReplicaReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	version, commanded := r.versions[address]
	if !commanded {
		version = weightVersion
	}
	return control.ReplicaReport{Address: address, Incarnation: 1, WeightVersion: version, MeasuredAt: now}
}

// noLoad is the load of a node without callers.
type noLoad struct{}

// InFlight implements routing.LoadReader.
func (noLoad) InFlight(string) int { return 0 }
