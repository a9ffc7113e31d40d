package hollow

import (
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// reportEvery is the time between two reports of a replica to the owner of its
// shard, as daemons ask for them.
const reportEvery = 250 * time.Millisecond

// replicas stand for the model replicas: they report at once and load weights
// in no time.
type replicas struct {
	mutex sync.Mutex
	// versions are the weights of the replicas that were ordered to load some.
	versions map[string]string
}

func newReplicas() *replicas { return &replicas{versions: map[string]string{}} }

// Command implements control.Commander.
func (r *replicas) Command(command control.Command) {
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
