package hollow

import (
	"bytes"
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

var _ = Describe("Settings", func() {
	DescribeTable("are refused with the name of the fault",
		func(change func(*Settings), expected string) {
			settings := small()
			change(&settings)
			Expect(settings.Check()).To(MatchError(ContainSubstring(expected)))
		},
		Entry("no nodes", func(s *Settings) { s.Nodes = 0 }, "nodes is 0"),
		Entry("more core nodes than nodes", func(s *Settings) { s.Core = 8 }, "core is 8"),
		Entry("no zones", func(s *Settings) { s.Zones = 0 }, "zones is 0"),
		Entry("no replicas", func(s *Settings) { s.Replicas = 0 }, "replicas is 0"),
		Entry("no tenants", func(s *Settings) { s.Tenants = 0 }, "tenants"),
		Entry("no time", func(s *Settings) { s.Duration = 0 }, "time to measure"),
		Entry("no pause between starts", func(s *Settings) { s.StartEvery = 0 }, "starts"),
		Entry("times that run backwards", func(s *Settings) { s.Stretch = -1 }, "stretch is -1"),
		Entry("unknown sockets", func(s *Settings) { s.Sockets = "udp" }, "udp"),
		Entry("too many own sockets", func(s *Settings) { s.Nodes, s.Sockets = 500, PerNodeSockets }, "connections"),
	)

	It("make a configuration that nodes take", func() {
		settings := small()
		settings.Replicas = 3700
		Expect(dynamic.Validate(configuration(settings))).To(Succeed())
		_, err := changeOrder(settings, 3)
		Expect(err).NotTo(HaveOccurred())
	})

	It("give each replica a place in the list and each node a host of its own", func() {
		settings := small()
		settings.Replicas, settings.Nodes, settings.Zones = 3700, 3000, 9
		addresses := map[string]bool{}
		for _, service := range platformEndpoints(settings) {
			for _, replica := range service.Endpoints {
				addresses[replica.Address] = true
			}
		}
		Expect(addresses).To(HaveLen(settings.Replicas))
		hosts := map[string]bool{}
		for number := range settings.Nodes {
			hosts[settings.hostOf(number)] = true
		}
		Expect(hosts).To(HaveLen(settings.Nodes))
	})
})

var _ = Describe("Kinds", func() {
	DescribeTable("are told from the frame",
		func(envelope wire.Envelope, expected wire.MessageKind) {
			Expect(wire.MessageKindOf(wire.Encode(envelope))).To(Equal(expected))
		},
		Entry("probe", wire.Envelope{Membership: &membership.Message{Type: membership.MessageGossip}}, wire.KindProbe),
		Entry("news", wire.Envelope{Membership: &membership.Message{Type: membership.MessageGossip, Records: make([]membership.Record, 1)}}, wire.KindRecordUpdate),
		Entry("digests by range", wire.Envelope{Membership: &membership.Message{Type: membership.MessageGossip, Buckets: make([]uint32, 64)}}, wire.KindRangeDigests),
		Entry("summary", wire.Envelope{Membership: &membership.Message{Type: membership.MessageGossip, CoveredBuckets: 1}}, wire.KindSummary),
		Entry("records and wishes", wire.Envelope{Membership: &membership.Message{
			Type: membership.MessageGossip, Records: make([]membership.Record, 1), Requested: []uint32{7},
		}}, wire.KindRecordRequest),
		Entry("digest", wire.Envelope{Relay: &relaytree.Message{Type: relaytree.MessageDigest}}, wire.KindRelayDigest),
	)

	It("all have a name", func() {
		for of := range wire.KindCount {
			Expect(of.String()).NotTo(BeEmpty())
		}
	})
})

var _ = Describe("Rates", func() {
	It("are means a node and name the busiest one", func() {
		quiet, busy := &meter{}, &meter{}
		quiet.sent[wire.KindConfirm].add(make([]byte, 6))
		busy.received[wire.KindConfirm].add(make([]byte, 16))
		busy.received[wire.KindConfirm].add(make([]byte, 16))
		rates := ratesOf([]reading{quiet.read(), busy.read()}, 2*second)
		Expect(rates.SentMessages).To(Equal(0.25))
		Expect(rates.SentBytes).To(Equal(2.5))
		Expect(rates.ReceivedBytes).To(Equal(10.0))
		Expect(rates.BusiestBytes).To(Equal(20.0))
		Expect(rates.Kinds).To(HaveLen(1))
	})
})

var _ = Describe("Spreading", func() {
	It("counts a change as everywhere only when the last node serves it", func() {
		watched := &spread{everywhere: map[uint64]time.Duration{2: 3 * second}}
		watched.arrivals = []arrival{
			{before: 1, revision: 2, at: 2 * second},
			{before: 1, revision: 3, at: 3 * second},
		}
		judged := watched.judge([]change{
			{submittedAt: second, repliedAt: 2 * second, revision: 2, confirmed: true},
			{submittedAt: 2 * second, repliedAt: 6 * second, revision: 3},
			{problem: "no leader"},
		})
		Expect(judged.Confirmed).To(Equal(1))
		Expect(judged.Pending).To(Equal(1))
		Expect(judged.Failed).To(Equal(1))
		Expect(judged.NotEverywhere).To(Equal(1))
		Expect(judged.ToEveryNode.Max).To(BeNumerically("~", 2000, 2))
		Expect(judged.LateAfterAcknowledged.Max).To(BeNumerically("~", 1000, 1))
		Expect(judged.ToEachNode.Count).To(Equal(int64(3)))
	})
})

var _ = Describe("The network", func() {
	It("carries a frame to the node that it is for", func() {
		for _, sockets := range []Sockets{SharedSockets, PerNodeSockets} {
			settings := small()
			settings.Sockets = sockets
			arrived := make(chan int, 1)
			carrier, err := newTransportNetwork(settings, func(node int, frame []byte) {
				if bytes.Equal(frame, []byte("frame")) {
					arrived <- node
				}
			})
			Expect(err).NotTo(HaveOccurred())
			carrier.send(0, carrier.addresses()[5], []byte("frame"))
			Eventually(arrived).WithTimeout(5 * second).Should(Receive(Equal(5)))
			Expect(carrier.dropped()).To(BeZero())
			carrier.close()
		}
	})

	It("counts frames to nobody", func() {
		carrier, err := newTransportNetwork(small(), func(int, []byte) {})
		Expect(err).NotTo(HaveOccurred())
		defer carrier.close()
		carrier.send(0, "127.9.9.9:1", []byte("frame"))
		Expect(carrier.dropped()).To(Equal(uint64(1)))
	})
})

var _ = Describe("The index", func() {
	It("keeps as many parts as the replicas do while they turn over", func() {
		settings := small()
		feed := newIndexFeed(settings)
		feed.fill()
		for range 1000 {
			feed.replaceChunk()
		}
		Expect(feed.router.IndexStats().Reported).To(Equal(settings.Replicas * settings.ChunksPerReplica))
		_, candidates := feed.measurePlacement()
		Expect(candidates).To(Equal(settings.Replicas))
	})
})

var _ = Describe("A run", func() {
	It("stops at its memory limit and says so", func() {
		settings := small()
		settings.MemoryLimit = 1
		result, err := Run(context.Background(), settings)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Stopped).To(Equal(ErrMemory.Error()))
		Expect(result.StableInRealTime).To(BeFalse())
	})
})
