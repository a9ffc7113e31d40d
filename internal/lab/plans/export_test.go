package plans

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/links"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
)

// What the tests reach beside the exported interface.
var (
	SpareAddress = spareAddress
	VotesOn      = votesOn
	AllServing   = allServing
	AnyServing   = anyServing
)

// MissingOrders returns the IDs of acknowledged orders that a configuration does
// not hold.
func MissingOrders(held *ridgeswitchv1.Configuration, acknowledged ...operator.Order) []string {
	var promised []acknowledgedOrder
	for _, order := range acknowledged {
		promised = append(promised, acknowledgedOrder{order: order})
	}
	var ids []string
	for _, one := range missing(held, promised) {
		ids = append(ids, one.order.Request.GetOrder().GetOrderId())
	}
	return ids
}

// Boundary returns the links that leave a zone and those that enter it.
func Boundary(topology *fleet.Topology, zone string) (out, in []links.Link, err error) {
	border, err := boundaryOf(topology, zone)
	return border.out, border.in, err
}

// CheckOrders judges how long orders stayed away.
func (recovery Recovery) CheckOrders() []checker.Violation { return recovery.checkOrders(0) }
