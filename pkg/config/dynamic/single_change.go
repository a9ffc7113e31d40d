package dynamic

import (
	"strconv"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// EvacuationOrder returns the order that begins or ends the evacuation of a zone. A copy
// under another identity is a separate order, which takes effect whenever it arrives: see
// ConditionalEvacuationOrder.
func EvacuationOrder(orderID, zone string, evacuated bool, reason string) (*controlpb.Order, error) {
	return evacuationOrder(&ridgeswitchv1.OrderHeader{OrderId: orderID}, zone, evacuated, reason)
}

// ConditionalEvacuationOrder returns the order that begins or ends the evacuation of a zone
// on the condition that the evacuation has neither begun nor ended after a revision.
// Otherwise the order is refused with KindEvacuationChanged. A caller that has no identities
// of its own may resend the order under new ones: no copy, however late it arrives, undoes
// an order that was accepted after that revision.
func ConditionalEvacuationOrder(orderID, zone string, evacuated bool, unchangedSince uint64) (*controlpb.Order, error) {
	change := &controlpb.SetEvacuation{Zone: zone, Evacuated: evacuated, UnchangedSince: &unchangedSince}
	return setEvacuationOrder(&ridgeswitchv1.OrderHeader{OrderId: orderID}, change)
}

// NameWeightsOrder returns the order that names the weight version which every replica of a
// pool is to run. An order for the version that is already in force is accepted under any
// new identity and changes nothing.
func NameWeightsOrder(orderID, pool, weightVersion string) (*controlpb.Order, error) {
	return nameWeightsOrder(&ridgeswitchv1.OrderHeader{OrderId: orderID}, pool, weightVersion)
}

// RaiseWeightsOrder returns the order of NameWeightsOrder for versions that are whole numbers
// and only rise. An order for a version that is not above the one in force is accepted and
// changes nothing, so that a late resend does not restore an older version.
func RaiseWeightsOrder(orderID, pool string, weightVersion uint64) (*controlpb.Order, error) {
	change := &controlpb.NameWeights{Pool: pool, WeightVersion: strconv.FormatUint(weightVersion, 10), Rising: true}
	return newOrder(&ridgeswitchv1.OrderHeader{OrderId: orderID}, &controlpb.Order{Change: &controlpb.Order_NameWeights{NameWeights: change}})
}

// RaiseModelWeightsOrder returns the order that names a weight version for every pool of a
// model, also for pools that a ModelDocumentOrder brings in later. Versions are whole numbers
// and only rise, as for RaiseWeightsOrder. The argument pool is one of the model's pools, which
// is all that a node of an earlier release names the version for.
func RaiseModelWeightsOrder(orderID, model, pool string, weightVersion uint64) (*controlpb.Order, error) {
	change := &controlpb.NameWeights{
		Pool: pool, WeightVersion: strconv.FormatUint(weightVersion, 10), Rising: true, Model: model,
	}
	return newOrder(&ridgeswitchv1.OrderHeader{OrderId: orderID}, &controlpb.Order{Change: &controlpb.Order_NameWeights{NameWeights: change}})
}

// mayRaise reports whether a version that may only rise may replace the one in force: it is a
// higher whole number, or the version in force is not a whole number.
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
