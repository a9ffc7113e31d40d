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
	// versions are the weights of the replicas that were ordered to load some.
	versions map[string]string
}

func newReplicas() *replicas { return &replicas{versions: map[string]string{}} }

// load is what a command leads to.
func (r *replicas) load(command control.Command) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.versions[command.Address] = command.WeightVersion
}

// report is what a replica says of itself.
func (r *replicas) report(address string, now time.Duration) control.ReplicaReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	version, ordered := r.versions[address]
	if !ordered {
		version = weightVersion
	}
	return control.ReplicaReport{Address: address, Incarnation: 1, WeightVersion: version, MeasuredAt: now}
}

// noLoad is the load of a node without callers.
type noLoad struct{}

// InFlight implements routing.LoadReader.
func (noLoad) InFlight(string) int { return 0 }
