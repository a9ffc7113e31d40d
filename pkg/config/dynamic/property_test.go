package dynamic_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// randomCommand returns a random command. It chooses among few identities and bases, so that
// resends, conflicts and stale orders are frequent.
func randomCommand(random *rand.Rand, revision uint64) *controlpb.Command {
	id := fmt.Sprint("order-", random.IntN(60))
	base := uint64(0)
	if random.IntN(2) == 0 {
		base = revision - min(revision, uint64(random.IntN(2)))
	}
	tenant := []string{"registry", "chamber", "absent"}[random.IntN(3)]
	zone := string(rune('a' + random.IntN(4)))
	switch random.IntN(9) {
	case 0:
		configuration := validConfiguration()
		configuration.Tenants = configuration.Tenants[random.IntN(2):]
		return applyCommand(id, base, configuration)
	case 1:
		secret := fmt.Sprint(random.IntN(5))
		return command(&ridgeswitchv1.AddKeyRequest{Order: header(id, base), Tenant: tenant, Key: &ridgeswitchv1.Key{Name: "k" + secret, Sha256: dynamic.KeyDigest(secret)}})
	case 2:
		return command(&ridgeswitchv1.RevokeKeyRequest{Order: header(id, base), Tenant: tenant, Key: fmt.Sprint("k", random.IntN(5))})
	case 3:
		return wallCommand(id, tenant, random.IntN(2) == 0)
	case 4:
		return evacuate(id, base, zone)
	case 5:
		return command(&ridgeswitchv1.RestoreZoneRequest{Order: header(id, base), Zone: zone})
	case 6:
		return command(&ridgeswitchv1.NameWeightsRequest{Order: header(id, base), Pool: "summaries", WeightVersion: fmt.Sprint("w", random.IntN(3))})
	case 7:
		return register(zone, random.Uint64N(4))
	default:
		return forget(zone, random.Uint64N(4))
	}
}

var _ = Describe("Machines that apply the same commands", func() {
	for seed := range uint64(20) {
		It(fmt.Sprint("reach equal states and answers, also after a restore from a snapshot, seed ", seed), func() {
			random := rand.New(rand.NewPCG(seed, 1))
			machine, follower := dynamic.NewMachine(nil), dynamic.NewMachine(nil)
			accepted := make(map[string]*controlpb.Answer)
			bases := make(map[uint64]string)
			for range 300 {
				drawn := randomCommand(random, machine.Revision())
				before := machine.State()
				answer := machine.Apply(drawn)
				Expect(follower.Apply(proto.Clone(drawn).(*controlpb.Command))).To(equalMessage(answer))
				if random.IntN(20) == 0 {
					snapshot, err := follower.Snapshot()
					Expect(err).NotTo(HaveOccurred())
					follower, err = dynamic.RestoreMachine(snapshot)
					Expect(err).NotTo(HaveOccurred())
				}
				Expect(machine.State()).To(equalMessage(follower.State()))
				Expect(dynamic.Validate(machine.Configuration())).To(Succeed())
				checkAnswer(drawn.GetOrder(), answer, before, machine, accepted, bases)
			}
			Expect(len(accepted)).To(BeNumerically(">", 10))
		})
	}
})

// checkAnswer checks the guarantees for every answer: a refusal changes nothing, a resend
// gets the first answer, and of the orders on the same base at most one changes the
// configuration.
func checkAnswer(order *controlpb.Order, answer *controlpb.Answer, before *controlpb.ConfigurationState,
	machine *dynamic.Machine, accepted map[string]*controlpb.Answer, bases map[uint64]string,
) {
	if order == nil {
		return
	}
	if answer.GetProblem() != nil {
		Expect(machine.State()).To(equalMessage(before))
		return
	}
	if first, resent := accepted[order.GetOrderId()]; resent {
		Expect(answer).To(equalMessage(first))
		Expect(machine.State()).To(equalMessage(before))
		return
	}
	accepted[order.GetOrderId()] = answer
	if machine.Revision() == before.GetConfiguration().GetRevision() || order.GetBaseRevision() == 0 {
		return
	}
	Expect(bases).NotTo(HaveKey(order.GetBaseRevision()))
	bases[order.GetBaseRevision()] = order.GetOrderId()
	Expect(answer.GetRevision()).To(Equal(order.GetBaseRevision() + 1))
}
