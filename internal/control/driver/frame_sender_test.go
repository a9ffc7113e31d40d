package driver

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

var _ = Describe("Driver.Sent", func() {
	It("counts messages by kind and by distance", func() {
		driver := &Driver{}
		probe := wire.Encode(wire.Envelope{From: "a", Membership: &membership.Message{Type: membership.MessageGossip}})
		heartbeat := wire.Encode(wire.Envelope{From: "a", Membership: &membership.Message{Type: membership.MessageHeartbeat}})
		driver.frames.sent.add(probe, distanceBetween("north", "north"))
		driver.frames.sent.add(probe, distanceBetween("north", "south"))
		driver.frames.sent.add(probe, distanceBetween("north", "south"))
		driver.frames.sent.add(heartbeat, distanceBetween("north", ""))
		size := uint64(len(probe))
		Expect(driver.Sent()).To(ConsistOf(
			SentCount{Kind: wire.KindProbe, Distance: SameZone, Frames: 1, Bytes: size},
			SentCount{Kind: wire.KindProbe, Distance: OtherZone, Frames: 2, Bytes: 2 * size},
			SentCount{Kind: wire.KindMemberHeartbeat, Distance: UnknownZone, Frames: 1, Bytes: uint64(len(heartbeat))},
		))
	})
})
