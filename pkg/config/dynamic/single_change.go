package dynamic

import (
	"strconv"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// EvacuationOrder orders that a zone be evacuated, or that its evacuation end.
// Each copy of it under another identity is an order of its own, which takes effect
// whenever it comes: see ConditionalEvacuationOrder.
func EvacuationOrder(orderID, zone string, evacuated bool, reason string) (*controlpb.Order, error) {
	return evacuationOrder(&ridgeswitchv1.OrderHeader{OrderId: orderID}, zone, evacuated, reason)
}

// ConditionalEvacuationOrder is EvacuationOrder on the condition that the evacuation of the
// zone has neither begun nor ended after a revision; otherwise the order is refused with
// KindEvacuationChanged. A caller without identities of its own may resend it under new
// ones: no copy undoes an order that was accepted after that revision, however late it comes.
func ConditionalEvacuationOrder(orderID, zone string, evacuated bool, unchangedSince uint64) (*controlpb.Order, error) {
	change := &controlpb.SetEvacuation{Zone: zone, Evacuated: evacuated, UnchangedSince: &unchangedSince}
	return setEvacuationOrder(&ridgeswitchv1.OrderHeader{OrderId: orderID}, change)
}

// NameWeightsOrder orders that every replica of a pool run a weight version. An order
// under another identity for what is in force already is accepted and changes nothing.
func NameWeightsOrder(orderID, pool, weightVersion string) (*controlpb.Order, error) {
	return nameWeightsOrder(&ridgeswitchv1.OrderHeader{OrderId: orderID}, pool, weightVersion)
}

// RaiseWeightsOrder is NameWeightsOrder for versions that are whole numbers and
// only rise: an order for one that is not above the version in force is accepted
// and changes nothing, so that a late resend takes nothing back.
func RaiseWeightsOrder(orderID, pool string, weightVersion uint64) (*controlpb.Order, error) {
	change := &controlpb.NameWeights{Pool: pool, WeightVersion: strconv.FormatUint(weightVersion, 10), Rising: true}
	return newOrder(&ridgeswitchv1.OrderHeader{OrderId: orderID}, &controlpb.Order{Change: &controlpb.Order_NameWeights{NameWeights: change}})
}

// mayRaise reports whether a version is a whole number above another, or the other is
// none.
func mayRaise(weightVersion, inForce string) bool {
	before, err := strconv.ParseUint(inForce, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseUint(weightVersion, 10, 64)
	return err == nil && after > before
}

func evacuationOrder(header *ridgeswitchv1.OrderHeader, zone string, evacuated bool, reason string) (*controlpb.Order, error) {
	return setEvacuationOrder(header, &controlpb.SetEvacuation{Zone: zone, Evacuated: evacuated, Reason: reason})
}

func setEvacuationOrder(header *ridgeswitchv1.OrderHeader, change *controlpb.SetEvacuation) (*controlpb.Order, error) {
	return newOrder(header, &controlpb.Order{Change: &controlpb.Order_SetEvacuation{SetEvacuation: change}})
}

func nameWeightsOrder(header *ridgeswitchv1.OrderHeader, pool, weightVersion string) (*controlpb.Order, error) {
	change := &controlpb.NameWeights{Pool: pool, WeightVersion: weightVersion}
	return newOrder(header, &controlpb.Order{Change: &controlpb.Order_NameWeights{NameWeights: change}})
}
