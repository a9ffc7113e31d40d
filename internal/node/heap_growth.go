package node

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

const (
	// heapGrowthInterval is how often the heap growth is adapted to the number of live
	// nodes.
	heapGrowthInterval = 2 * time.Second
	// smallFleet is the number of live nodes up to which the setting is used unchanged.
	smallFleet = 80
	// nodesPerPercent is how many nodes beyond smallFleet add one percentage point to the
	// heap growth.
	nodesPerPercent = 2
	// maxExtraGrowth limits how much the nodes beyond smallFleet add, in percentage points.
	maxExtraGrowth = 120
)

// heapMemoryFraction is the soft memory limit of the Go runtime as a fraction of the memory that
// the node may use. Near it, the garbage collector runs more often.
const heapMemoryFraction = 0.65

// LimitHeap sets the soft memory limit of the Go runtime, if the settings name the memory.
func LimitHeap(settings *static.Settings) {
	if memory := settings.MemoryBytes(); memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * heapMemoryFraction))
	}
}

// heapGrowth is a supervised loop that lets the heap grow further between two garbage
// collections (see debug.SetGCPercent) in large fleets. Every node decodes the traffic
// gossip of all nodes and drops it again, so that the garbage, and with it the processor time
// of collections, grows with the number of nodes, while the live heap grows little.
type heapGrowth struct {
	// percent is the setting, which is used unchanged up to smallFleet nodes.
	percent int
	driver  *driver.Driver
}

// Serve implements suture.Service.
func (h *heapGrowth) Serve(ctx context.Context) error {
	ticker := time.NewTicker(heapGrowthInterval)
	defer ticker.Stop()
	set := 0
	for {
		if growth := growthFor(h.percent, len(h.driver.LiveNodes())); growth != set {
			debug.SetGCPercent(growth)
			set = growth
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// String implements fmt.Stringer for the supervisor's messages.
func (h *heapGrowth) String() string { return "growth of the heap" }

// growthFor returns the heap growth in percent (see debug.SetGCPercent) for a number of
// live nodes. The argument percent is the setting.
func growthFor(percent, nodes int) int {
	return percent + min(max(nodes-smallFleet, 0)/nodesPerPercent, maxExtraGrowth)
}
