package shardstate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

const (
	configurationTopic = relaytree.Topic(ConfigurationShard)
	manyTenants        = 22_000
)

// randomConfiguration returns a configuration whose lists contain elements with random
// keys in random order.
func randomConfiguration(random *rand.Rand, revision uint64) *ridgeswitchv1.Configuration {
	configuration := &ridgeswitchv1.Configuration{Revision: revision, SharedEpoch: random.Uint64N(3)}
	for _, number := range random.Perm(random.IntN(12)) {
		name := fmt.Sprintf("name-%d", number)
		tenant := &ridgeswitchv1.Tenant{Name: name, Walled: random.IntN(2) == 0}
		for key := range random.IntN(3) {
			tenant.Keys = append(tenant.Keys, &ridgeswitchv1.Key{Name: fmt.Sprint(key), Sha256: fmt.Sprint(random.IntN(4))})
		}
		if random.IntN(2) == 0 {
			tenant.Limits = &ridgeswitchv1.Limits{Burst: random.Uint32N(2)}
		}
		configuration.Tenants = append(configuration.Tenants, tenant)
		configuration.Pools = append(configuration.Pools, &ridgeswitchv1.Pool{Name: name, Model: fmt.Sprint(random.IntN(2))})
		configuration.WebServices = append(configuration.WebServices, &ridgeswitchv1.WebService{Name: name})
		configuration.Stores = append(configuration.Stores, &ridgeswitchv1.Store{Name: name, Zone: fmt.Sprint(random.IntN(2))})
		route := &ridgeswitchv1.Route{Host: name, Destination: &ridgeswitchv1.Route_Pool{Pool: name}}
		configuration.Routes = append(configuration.Routes, route)
		for _, prefix := range random.Perm(random.IntN(3)) {
			pathRoute := proto.CloneOf(route)
			pathRoute.PathPrefix = fmt.Sprintf("/%d/", prefix)
			configuration.Routes = append(configuration.Routes, pathRoute)
		}
		configuration.Evacuations = append(configuration.Evacuations, &ridgeswitchv1.ZoneEvacuation{Zone: name})
	}
	return configuration
}

// largeConfiguration returns a configuration with a number of tenants that have one key
// each.
func largeConfiguration(tenants int) *ridgeswitchv1.Configuration {
	configuration := &ridgeswitchv1.Configuration{Revision: 1}
	for i := range tenants {
		configuration.Tenants = append(configuration.Tenants, &ridgeswitchv1.Tenant{
			Name:   fmt.Sprintf("tenant-%05d", i),
			Keys:   []*ridgeswitchv1.Key{{Name: "key", Sha256: fmt.Sprintf("%064x", i)}},
			Limits: &ridgeswitchv1.Limits{RequestsPerSecond: 10, Burst: 20, ConcurrentRequests: 8},
		})
	}
	return configuration
}

// withKey returns a copy of a configuration with the next revision and a new key of one
// tenant.
func withKey(configuration *ridgeswitchv1.Configuration, tenant int) *ridgeswitchv1.Configuration {
	next := proto.Clone(configuration).(*ridgeswitchv1.Configuration)
	next.Revision++
	next.Tenants[tenant].Keys[0].Sha256 = fmt.Sprintf("%064x", uint64(tenant)+next.Revision<<32)
	return next
}

// publish publishes a configuration in the relay tree and returns the update.
func publish(relay *relaytree.Machine, configuration *ridgeswitchv1.Configuration) relaytree.Update {
	sections, err := encodeSections(configuration, configurationFields)
	if err != nil {
		panic(err)
	}
	_, updates := relay.Publish(configurationTopic, configuration.GetRevision(), sections)
	return updates[0]
}

var _ = Describe("sections", func() {
	It("decode to exactly the published configurations, and don't modify the earlier ones", func() {
		for seed := range uint64(100) {
			random := rand.New(rand.NewPCG(seed, 1))
			relay := relaytree.New(relaytree.Config{Self: "root"})
			decoder := NewDecoder(ConfigurationShard)
			var earlier, kept proto.Message
			for revision := range uint64(30) {
				published := randomConfiguration(random, revision+1)
				update := publish(relay, published)
				decoded, err := decoder.Apply(update)
				Expect(err).NotTo(HaveOccurred())
				Expect(proto.Equal(decoded, published)).To(BeTrue(), "seed %d revision %d", seed, revision+1)
				Expect(earlier == nil || proto.Equal(earlier, kept)).To(BeTrue(), "seed %d", seed)
				earlier, kept = decoded, proto.Clone(decoded)
			}
		}
	})

	It("decode to exactly the replicas of a service shard", func() {
		random := rand.New(rand.NewPCG(1, 1))
		relay := relaytree.New(relaytree.Config{Self: "root"})
		decoder := NewDecoder(1)
		for revision := range uint64(50) {
			published := &controlpb.ServiceState{Revision: revision + 1}
			for _, number := range random.Perm(random.IntN(9)) {
				phase := controlpb.ReplicaPhase(random.IntN(4))
				published.Replicas = append(published.Replicas, &controlpb.ReplicaState{Address: fmt.Sprint(number), Phase: phase})
			}
			sections, err := NewService(published).Sections()
			Expect(err).NotTo(HaveOccurred())
			_, updates := relay.Publish(1, revision+1, sections)
			decoded, err := decoder.Apply(updates[0])
			Expect(err).NotTo(HaveOccurred())
			Expect(proto.Equal(decoded, published)).To(BeTrue())
		}
	})

	It("are decoded for a changed tenant alone, and take less than 2 KB on the wire", func() {
		relay := relaytree.New(relaytree.Config{Self: "root"})
		decoder := NewDecoder(ConfigurationShard)
		first := largeConfiguration(manyTenants)
		update := publish(relay, first)
		before, err := decoder.Apply(update)
		Expect(err).NotTo(HaveOccurred())
		second := withKey(first, 7)
		update = publish(relay, second)
		Expect(update.Sections).To(HaveLen(2))
		after, err := decoder.Apply(update)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(after, second)).To(BeTrue())
		for i, tenant := range after.(*ridgeswitchv1.Configuration).GetTenants() {
			same := tenant == before.(*ridgeswitchv1.Configuration).GetTenants()[i]
			Expect(same).To(Equal(i != 7))
		}
		delta := relaytree.Message{Type: relaytree.MessageUpdate, Revision: 2, BaseRevision: 1, Sections: update.Sections}
		bytes := len(wire.Encode(wire.Envelope{From: "root", Relay: &delta}))
		AddReportEntry("bytes", fmt.Sprintf("whole configuration %d, delta %d", proto.Size(second), bytes))
		Expect(bytes).To(BeNumerically("<", 2<<10))
	})

	It("of one other element change when an element is removed", func() {
		relay := relaytree.New(relaytree.Config{Self: "root"})
		configuration := largeConfiguration(9)
		publish(relay, configuration)
		next := proto.Clone(configuration).(*ridgeswitchv1.Configuration)
		next.Revision++
		next.Tenants = append(next.Tenants[:4], next.Tenants[5:]...)
		update := publish(relay, next)
		Expect(update.Removed).To(Equal([]string{"tenant/tenant-00004"}))
		Expect(update.Sections).To(HaveLen(2))
	})

	It("are not encoded for an empty or duplicate key", func() {
		for _, names := range [][]string{{"a", "a"}, {""}} {
			configuration := &ridgeswitchv1.Configuration{}
			for _, name := range names {
				configuration.Tenants = append(configuration.Tenants, &ridgeswitchv1.Tenant{Name: name})
			}
			_, err := encodeSections(configuration, configurationFields)
			Expect(err).To(BeAssignableToTypeOf(&sectionError{}))
		}
	})

	DescribeTable("are not decoded if they are malformed", func(name, content string) {
		_, err := NewDecoder(ConfigurationShard).Apply(relaytree.Update{
			Sections: []relaytree.Section{{Name: name, Content: []byte(content)}},
		})
		Expect(err).To(HaveOccurred())
	},
		Entry("unknown kind", "planet/mars", ""),
		Entry("truncated predecessor", "tenant/a", "\x05ab"),
		Entry("malformed element", "tenant/a", "\x00\x0a"),
		Entry("malformed settings", "settings", "\x08"),
		Entry("missing predecessor", "tenant/a", "\x01b"),
		Entry("element that is its own predecessor", "tenant/a", "\x01a"),
	)

	It("are all decoded again after an update that could not be decoded", func() {
		relay := relaytree.New(relaytree.Config{Self: "root"})
		received := NewReceived()
		whole := func(topic relaytree.Topic) []relaytree.Section {
			_, sections := relay.Snapshot(topic)
			return sections
		}
		apply := func(update relaytree.Update) error {
			_, err := received.Apply(update, whole)
			return err
		}
		first := largeConfiguration(3)
		update := publish(relay, first)
		Expect(apply(update)).To(Succeed())
		broken := relaytree.Update{Revision: 2, Sections: []relaytree.Section{{Name: "tenant/a"}}}
		Expect(apply(broken)).NotTo(Succeed())
		Expect(proto.Equal(received.Configuration(), first)).To(BeTrue())
		third := withKey(withKey(first, 0), 1)
		update = publish(relay, third)
		Expect(apply(update)).To(Succeed())
		Expect(proto.Equal(received.Configuration(), third)).To(BeTrue())
		Expect(received.Revision(ConfigurationShard)).To(Equal(uint64(3)))
	})
})

// BenchmarkEncodeSections measures what a change costs the leader with 22,000 tenants.
func BenchmarkEncodeSections(b *testing.B) {
	configuration := largeConfiguration(manyTenants)
	for b.Loop() {
		if _, err := encodeSections(configuration, configurationFields); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeOneSection measures what one changed tenant costs every node.
func BenchmarkDecodeOneSection(b *testing.B) {
	relay := relaytree.New(relaytree.Config{Self: "root"})
	decoder := NewDecoder(ConfigurationShard)
	first := largeConfiguration(manyTenants)
	whole := publish(relay, first)
	if _, err := decoder.Apply(whole); err != nil {
		b.Fatal(err)
	}
	update := publish(relay, withKey(first, 7))
	for b.Loop() {
		if _, err := decoder.Apply(update); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeWhole measures, for comparison, the decoding of a complete configuration
// that is not split into sections.
func BenchmarkDecodeWhole(b *testing.B) {
	data, err := proto.Marshal(largeConfiguration(manyTenants))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := proto.Unmarshal(data, &ridgeswitchv1.Configuration{}); err != nil {
			b.Fatal(err)
		}
	}
}
