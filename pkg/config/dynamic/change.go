package dynamic

import (
	"fmt"
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// configurationAfter returns the validated configuration that an order leads to. It is a
// copy; the caller sets its revision and epochs. The error is an *Error or Errors.
func configurationAfter(current *ridgeswitchv1.Configuration, order *controlpb.Order, named *modelWeights) (*ridgeswitchv1.Configuration, error) {
	if err := checkChange(order); err != nil {
		return nil, err
	}
	next, err := applyChange(current, order, named)
	if err != nil {
		return nil, err
	}
	if err := Validate(next); err != nil {
		return nil, err
	}
	return next, nil
}

// applyChange returns a changed copy of a configuration, which is not validated.
func applyChange(current *ridgeswitchv1.Configuration, order *controlpb.Order, named *modelWeights) (*ridgeswitchv1.Configuration, error) {
	switch change := order.GetChange().(type) {
	case *controlpb.Order_Apply:
		return withoutAssignedFields(change.Apply), nil
	case *controlpb.Order_ApplyDocument:
		return documentConfiguration(current, change.ApplyDocument, named), nil
	}
	next := proto.Clone(current).(*ridgeswitchv1.Configuration)
	switch change := order.GetChange().(type) {
	case *controlpb.Order_AddKey:
		return next, addKey(next, change.AddKey)
	case *controlpb.Order_RevokeKey:
		return next, revokeKey(next, change.RevokeKey)
	case *controlpb.Order_SetWall:
		return next, setWall(next, change.SetWall)
	case *controlpb.Order_SetEvacuation:
		setEvacuation(next, change.SetEvacuation)
		return next, nil
	case *controlpb.Order_NameWeights:
		return next, nameWeights(next, change.NameWeights)
	default:
		return nil, &Error{Kind: KindMissing, Field: "change", Message: "the order names no change; give one"}
	}
}

// addKey adds a key to a tenant. It changes nothing if the tenant already has the key.
func addKey(next *ridgeswitchv1.Configuration, change *controlpb.AddKey) error {
	tenant, err := tenantByName(next, change.GetTenant())
	if err != nil {
		return err
	}
	existing, found := lo.Find(tenant.GetKeys(), func(key *ridgeswitchv1.Key) bool {
		return key.GetName() == change.GetKey().GetName()
	})
	if !found {
		tenant.Keys = append(tenant.Keys, proto.Clone(change.GetKey()).(*ridgeswitchv1.Key))
		return nil
	}
	if existing.GetSha256() == change.GetKey().GetSha256() {
		return nil
	}
	return &Error{
		Kind:    KindDuplicate,
		Field:   "key.name",
		Message: fmt.Sprintf("tenant %q has another key %q; revoke it first or choose another name", change.GetTenant(), existing.GetName()),
	}
}

// revokeKey removes a key of a tenant by its name.
func revokeKey(next *ridgeswitchv1.Configuration, change *controlpb.RevokeKey) error {
	tenant, err := tenantByName(next, change.GetTenant())
	if err != nil {
		return err
	}
	kept := slices.DeleteFunc(tenant.GetKeys(), func(key *ridgeswitchv1.Key) bool {
		return key.GetName() == change.GetKey()
	})
	if len(kept) == len(tenant.GetKeys()) {
		return notFound("key", fmt.Sprintf("key %q of tenant %q", change.GetKey(), change.GetTenant()))
	}
	tenant.Keys = kept
	return nil
}

// setWall sets whether a tenant is walled.
func setWall(next *ridgeswitchv1.Configuration, change *controlpb.SetWall) error {
	tenant, err := tenantByName(next, change.GetTenant())
	if err != nil {
		return err
	}
	tenant.Walled = change.GetWalled()
	return nil
}

// setEvacuation begins or ends the evacuation of a zone, or replaces its reason.
func setEvacuation(next *ridgeswitchv1.Configuration, change *controlpb.SetEvacuation) {
	position := slices.IndexFunc(next.GetEvacuations(), func(evacuation *ridgeswitchv1.ZoneEvacuation) bool {
		return evacuation.GetZone() == change.GetZone()
	})
	switch {
	case change.GetEvacuated() && position >= 0:
		next.Evacuations[position].Reason = change.GetReason()
	case change.GetEvacuated():
		evacuation := &ridgeswitchv1.ZoneEvacuation{Zone: change.GetZone(), Reason: change.GetReason()}
		next.Evacuations = append(next.Evacuations, evacuation)
	case position >= 0:
		next.Evacuations = slices.Delete(next.Evacuations, position, position+1)
	}
}

// nameWeights sets the weight version that the replicas of a pool, or of all pools of a model,
// are to run. A model need not have a pool.
func nameWeights(next *ridgeswitchv1.Configuration, change *controlpb.NameWeights) error {
	if change.GetModel() != "" {
		for _, pool := range next.GetPools() {
			if pool.GetModel() == change.GetModel() {
				namePoolWeights(pool, change)
			}
		}
		return nil
	}
	pool, found := lo.Find(next.GetPools(), func(pool *ridgeswitchv1.Pool) bool {
		return pool.GetName() == change.GetPool()
	})
	if !found {
		return notFound("pool", fmt.Sprintf("pool %q", change.GetPool()))
	}
	namePoolWeights(pool, change)
	return nil
}

// namePoolWeights sets the weight version of a pool. If the versions may only rise, a version
// that is not above the one in force changes nothing.
func namePoolWeights(pool *ridgeswitchv1.Pool, change *controlpb.NameWeights) {
	if change.GetWeightVersion() == pool.GetWeightVersion() {
		return
	}
	if !change.GetRising() || mayRaise(change.GetWeightVersion(), pool.GetWeightVersion()) {
		pool.WeightVersion, pool.WeightsInherited = change.GetWeightVersion(), false
	}
}

// tenantByName returns the tenant of that name in a configuration. The error is an *Error.
func tenantByName(configuration *ridgeswitchv1.Configuration, name string) (*ridgeswitchv1.Tenant, error) {
	tenant, found := lo.Find(configuration.GetTenants(), func(tenant *ridgeswitchv1.Tenant) bool {
		return tenant.GetName() == name
	})
	if !found {
		return nil, notFound("tenant", fmt.Sprintf("tenant %q", name))
	}
	return tenant, nil
}

// notFound returns the error for a field that names something that does not exist.
func notFound(field, description string) error {
	return &Error{Kind: KindNotFound, Field: field, Message: "there is no " + description + "; read the configuration and correct the name"}
}
