package operator

import (
	"context"

	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// The orders in this file make a single change each. They name no base revision, so
// that they are not refused because of a concurrent change.

func (scenario *Scenario) header(name string) *ridgeswitchv1.OrderHeader {
	return &ridgeswitchv1.OrderHeader{OrderId: scenario.OrderID(name)}
}

// AddKey adds the plan's AddedKey to KeyTenant.
func (scenario *Scenario) AddKey(ctx context.Context) error {
	plan := scenario.Plan
	return scenario.RequireAcknowledged(ctx, Order{
		Call: "AddKey",
		Request: &ridgeswitchv1.AddKeyRequest{
			Order: scenario.header("add-key"), Tenant: plan.KeyTenant,
			Key: &ridgeswitchv1.Key{Name: plan.AddedKey, Sha256: plan.AddedDigest},
		},
		Change: checker.Change{Kind: checker.ChangeAddKey, Tenant: plan.KeyTenant, Key: plan.AddedKey},
	})
}

// RevokeKey revokes the plan's RevokedKey of RevokedTenant.
func (scenario *Scenario) RevokeKey(ctx context.Context) error {
	plan := scenario.Plan
	return scenario.RequireAcknowledged(ctx, Order{
		Call: "RevokeKey",
		Request: &ridgeswitchv1.RevokeKeyRequest{
			Order:  scenario.header("revoke-key"),
			Tenant: plan.RevokedTenant, Key: plan.RevokedKey,
		},
		Change: checker.Change{Kind: checker.ChangeRevoke, Tenant: plan.RevokedTenant, Key: plan.RevokedKey},
	})
}

// NameWeights names the weight version that the plan's pool is to serve.
func (scenario *Scenario) NameWeights(ctx context.Context, version string) error {
	pool := scenario.Plan.Pool
	return scenario.RequireAcknowledged(ctx, Order{
		Call: "NameWeights",
		Request: &ridgeswitchv1.NameWeightsRequest{
			Order: scenario.header("weights-" + version),
			Pool:  pool, WeightVersion: version,
		},
		Change: checker.Change{Kind: checker.ChangeWeights, Pool: pool, WeightVersion: version},
	})
}

func (scenario *Scenario) evacuate(ctx context.Context) error {
	zone := scenario.Plan.EvacuatedZone
	return scenario.RequireAcknowledged(ctx, Order{
		Call: "EvacuateZone",
		Request: &ridgeswitchv1.EvacuateZoneRequest{
			Order: scenario.header("evacuate"), Zone: zone,
			Reason: "works on the power supply",
		},
		Change: checker.Change{Kind: checker.ChangeEvacuate, Zone: zone},
	})
}

func (scenario *Scenario) restore(ctx context.Context) error {
	zone := scenario.Plan.EvacuatedZone
	return scenario.RequireAcknowledged(ctx, Order{
		Call:    "RestoreZone",
		Request: &ridgeswitchv1.RestoreZoneRequest{Order: scenario.header("restore"), Zone: zone},
		Change:  checker.Change{Kind: checker.ChangeRestore, Zone: zone},
	})
}

func (scenario *Scenario) wall(ctx context.Context) error {
	return scenario.setWall(ctx, "WallTenant", "wall", checker.ChangeWall)
}

func (scenario *Scenario) unwall(ctx context.Context) error {
	return scenario.setWall(ctx, "UnwallTenant", "unwall", checker.ChangeUnwall)
}

// setWall walls or unwalls the plan's WalledTenant, by the call that is given.
func (scenario *Scenario) setWall(ctx context.Context, call protoreflect.Name, name string, kind checker.ChangeKind) error {
	tenant := scenario.Plan.WalledTenant
	return scenario.RequireAcknowledged(ctx, Order{
		Call:    call,
		Request: &ridgeswitchv1.SetTenantWallRequest{Order: scenario.header(name), Tenant: tenant},
		Change:  checker.Change{Kind: kind, Tenant: tenant},
	})
}
