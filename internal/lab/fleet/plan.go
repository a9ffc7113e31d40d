package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
)

// Weight versions that the scenario rolls out after the initial one.
const (
	firstWeights = "v2"
	lastWeights  = "v3"
)

// disturbedReplicas is how many replicas refuse requests and truncate responses.
const disturbedReplicas = 3

// changedTenants is how many unwalled tenants the scenario needs.
const changedTenants = 3

// planStream is the PCG stream of the scenario's random choices. It keeps them independent
// of other generators with the same seed.
const planStream = 0x91a4

// NewPlan uses the seed to choose the nodes, replicas, keys and tenants of the scenario.
func NewPlan(deployment *Deployment, seed uint64, duration time.Duration) (operator.Plan, error) {
	topology := deployment.Topology
	open := lo.Filter(deployment.Configuration.GetTenants(), func(tenant *ridgeswitchv1.Tenant, _ int) bool {
		return !tenant.GetWalled()
	})
	front := topology.Front()
	members := topology.Replicas.Members
	if len(open) < changedTenants || len(front) == 0 || len(topology.Group) == 0 || len(members) == 0 {
		return operator.Plan{}, errors.Errorf("a scenario needs %d unwalled tenants, front nodes, a group and replicas", changedTenants)
	}
	random := rand.New(rand.NewPCG(seed, planStream))
	evacuated := members[len(members)-1].Zone
	staying := lo.Filter(members, func(member Backend, _ int) bool { return member.Zone != evacuated })
	if len(staying) == 0 {
		return operator.Plan{}, errors.New("a scenario needs replicas in at least two zones")
	}
	random.Shuffle(len(staying), func(i, j int) { staying[i], staying[j] = staying[j], staying[i] })
	disturbed := lo.Map(staying[1:min(1+disturbedReplicas, len(staying))],
		func(member Backend, _ int) string { return member.Address })
	keyTenant := open[0].GetName()
	return operator.Plan{
		Run:               fmt.Sprintf("%s-%d", topology.Name, seed),
		Duration:          duration,
		Pool:              topology.Replicas.Pool,
		FirstWeights:      firstWeights,
		LastWeights:       lastWeights,
		EvacuatedZone:     evacuated,
		DrainedReplica:    staying[0].Address,
		DisturbedReplicas: disturbed,
		KilledFront:       front[random.IntN(len(front))].Name,
		KilledCore:        topology.Group[random.IntN(len(topology.Group))],
		KeyTenant:         keyTenant,
		AddedKey:          addedKey,
		AddedDigest:       digest(Secret(topology.Name, keyTenant, addedKey)),
		RevokedTenant:     open[1].GetName(),
		RevokedKey:        spareKey,
		WalledTenant:      open[2].GetName(),
	}, nil
}

// digest returns the hexadecimal SHA-256 digest of a secret, as a configuration stores it.
func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
