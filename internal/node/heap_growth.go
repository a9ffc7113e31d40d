package node

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
)

const (
	// heapGrowthInterval is how often the growth of the heap is adapted to the number of
	// live nodes.
	heapGrowthInterval = 2 * time.Second
	// smallFleet is the number of live nodes up to which the setting holds as it is.
	smallFleet = 80
	// nodesPerPercent is how many nodes beyond smallFleet add one percent to the growth.
	nodesPerPercent = 2
	// maxExtraGrowth bounds what they add, in percent.
	maxExtraGrowth = 120
)

// heapGrowth is a supervised loop. It lets the heap grow further between two collections
// (see debug.SetGCPercent) where there are many nodes. Their gossip about
// traffic is decoded and dropped again at each of them, so that garbage grows
// with the fleet, and with it the processor time of collections, while the live heap
// grows little.
type heapGrowth struct {
	// percent is the setting, which holds up to smallFleet nodes.
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

// growthFor returns the growth of the heap, in percent, for a number of live nodes. The
// first argument is the setting.
func growthFor(percent, nodes int) int {
	return percent + min(max(nodes-smallFleet, 0)/nodesPerPercent, maxExtraGrowth)
}
