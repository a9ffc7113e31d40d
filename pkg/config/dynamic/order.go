package dynamic

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// KeyDigest returns the digest that a configuration contains in place of a key's secret.
func KeyDigest(secret string) string {
	digest := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(digest[:])
}

// OrderFromRequest turns a request of the control interface into an order with its digest.
// Faults that can be found without the configuration in force are returned as an *Error or
// Errors. A message that is not a request for an order gives another error. That includes
// SetTenantWallRequest, which does not contain whether to wall or to unwall: see WallOrder.
func OrderFromRequest(request proto.Message) (*controlpb.Order, error) {
	switch request := request.(type) {
	case *ridgeswitchv1.ApplyConfigurationRequest:
		return applyOrder(request)
	case *ridgeswitchv1.AddKeyRequest:
		change := &controlpb.AddKey{Tenant: request.GetTenant(), Key: request.GetKey()}
		return newOrder(request.GetOrder(), &controlpb.Order{Change: &controlpb.Order_AddKey{AddKey: change}})
	case *ridgeswitchv1.RevokeKeyRequest:
		change := &controlpb.RevokeKey{Tenant: request.GetTenant(), Key: request.GetKey()}
		return newOrder(request.GetOrder(), &controlpb.Order{Change: &controlpb.Order_RevokeKey{RevokeKey: change}})
	case *ridgeswitchv1.EvacuateZoneRequest:
		return evacuationOrder(request.GetOrder(), request.GetZone(), true, request.GetReason())
	case *ridgeswitchv1.RestoreZoneRequest:
		return evacuationOrder(request.GetOrder(), request.GetZone(), false, "")
	case *ridgeswitchv1.NameWeightsRequest:
		return nameWeightsOrder(request.GetOrder(), request.GetPool(), request.GetWeightVersion())
	default:
		return nil, errors.Errorf("%T is no order; build one with the function that fits the request", request)
	}
}

// WallOrder turns a request to wall or unwall a tenant into an order. A walled tenant shares
// no cached prompt chunks with other tenants.
func WallOrder(request *ridgeswitchv1.SetTenantWallRequest, walled bool) (*controlpb.Order, error) {
	change := &controlpb.SetWall{Tenant: request.GetTenant(), Walled: walled}
	return newOrder(request.GetOrder(), &controlpb.Order{Change: &controlpb.Order_SetWall{SetWall: change}})
}

// applyOrder returns the order for a complete configuration. If the request has a document,
// that is the order of DocumentOrder.
func applyOrder(request *ridgeswitchv1.ApplyConfigurationRequest) (*controlpb.Order, error) {
	if request.GetSource() != nil {
		return DocumentOrder(request.GetConfiguration(), request.GetSource())
	}
	if err := Validate(request.GetConfiguration()); err != nil {
		return nil, err
	}
	change := withoutAssignedFields(request.GetConfiguration())
	return newOrder(request.GetOrder(), &controlpb.Order{Change: &controlpb.Order_Apply{Apply: change}})
}

// newOrder completes an order with its identity, base revision and digest.
func newOrder(header *ridgeswitchv1.OrderHeader, order *controlpb.Order) (*controlpb.Order, error) {
	if err := checkChosenOrderID(header.GetOrderId()); err != nil {
		return nil, err
	}
	order.BaseRevision = header.GetBaseRevision()
	if err := checkChange(order); err != nil {
		return nil, err
	}
	digest, err := orderDigest(order)
	if err != nil {
		return nil, err
	}
	order.OrderId = header.GetOrderId()
	order.Digest = digest
	return order, nil
}

// checkOrderID checks the form of an order's identity, whether it was chosen by an operator
// or derived from a document.
func checkOrderID(id string) error {
	if id == "" {
		return &Error{
			Kind:    KindOrderIDMissing,
			Field:   "order.order_id",
			Message: "is empty; choose an identity for the order and keep it when you resend",
		}
	}
	check := &checker{}
	check.label("order.order_id", id)
	return check.faults.orNil()
}

// checkChosenOrderID checks an identity that an operator chose. It must not have the prefix
// of identities that are derived from documents.
func checkChosenOrderID(id string) error {
	if err := checkOrderID(id); err != nil {
		return err
	}
	if strings.HasPrefix(id, documentOrderPrefix) {
		return &Error{
			Kind:    KindInvalid,
			Field:   "order.order_id",
			Message: fmt.Sprintf("begins with %q, which names documents; choose another identity", documentOrderPrefix),
		}
	}
	return nil
}

// checkChange checks the form of a single change. Complete configurations are checked by
// Validate instead.
func checkChange(order *controlpb.Order) error {
	check := &checker{}
	switch change := order.GetChange().(type) {
	case *controlpb.Order_AddKey:
		check.name("tenant", change.AddKey.GetTenant())
		check.key("key", change.AddKey.GetKey())
	case *controlpb.Order_RevokeKey:
		check.name("tenant", change.RevokeKey.GetTenant())
		check.name("key", change.RevokeKey.GetKey())
	case *controlpb.Order_SetWall:
		check.name("tenant", change.SetWall.GetTenant())
	case *controlpb.Order_SetEvacuation:
		check.name("zone", change.SetEvacuation.GetZone())
		check.reason("reason", change.SetEvacuation.GetReason())
	case *controlpb.Order_NameWeights:
		check.name("pool", change.NameWeights.GetPool())
		check.label("weight_version", change.NameWeights.GetWeightVersion())
		if change.NameWeights.GetModel() != "" {
			check.label("model", change.NameWeights.GetModel())
		}
	}
	return check.faults.orNil()
}

// orderDigest returns the digest of an order. It covers the kind, the base revision and the
// content of the order, but not its identity.
func orderDigest(order *controlpb.Order) ([]byte, error) {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(order)
	if err != nil {
		return nil, errors.Wrap(err, "encode the order for its digest")
	}
	digest := sha256.Sum256(content)
	return digest[:], nil
}

// withoutAssignedFields returns a copy of a configuration without the fields that the system
// assigns.
func withoutAssignedFields(configuration *ridgeswitchv1.Configuration) *ridgeswitchv1.Configuration {
	copied := proto.Clone(configuration).(*ridgeswitchv1.Configuration)
	copied.Revision = 0
	copied.SharedEpoch = 0
	copied.Source = nil
	for _, tenant := range copied.GetTenants() {
		tenant.WallEpoch = 0
	}
	for _, pool := range copied.GetPools() {
		pool.WeightsInherited = false
	}
	return copied
}

// conflictMessage returns the message for an order whose identity belongs to an accepted
// order of other content.
func conflictMessage(id string) string {
	return fmt.Sprintf("order %q was accepted with other content; choose a new identity for a new order", id)
}
