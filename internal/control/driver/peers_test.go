package driver

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

var _ = Describe("livePeers", func() {
	It("publishes the nodes again when only the monitors in a record have changed", func() {
		machine := newSoloMachine(nil)
		var peers livePeers
		receiveRecord := func(id member.ID, version uint64, monitors ...member.ID) []member.ID {
			other := member.Info{ID: id, Address: "127.0.0.1:2", TrafficAddress: "127.0.0.1:3", Incarnation: 1}
			machine.Receive(time.Second, wire.Envelope{Membership: &membership.Message{
				Type: membership.MessageGossip,
				From: other,
				Records: []membership.Record{{
					Info: other, Version: version, Monitors: monitors, MonitorSetVersion: version,
				}},
			}})
			peers.update(machine)
			return lo.Map(peers.published.Load().all, func(info member.Info, _ int) member.ID { return info.ID })
		}
		self := machine.Self().ID
		Expect(receiveRecord("c", 1, "b")).To(ConsistOf(self), "b, the monitor of c, is not known")
		Expect(receiveRecord("b", 1, "x")).To(ConsistOf(self, member.ID("c")), "x, the monitor of b, is not known")
		infos := func() []member.Info {
			return lo.Map(machine.Members(), func(record membership.Record, _ int) member.Info { return record.Info })
		}
		states := func() []membership.State {
			return lo.Map(machine.Members(), func(record membership.Record, _ int) membership.State { return record.State })
		}
		infosBefore, statesBefore := infos(), states()
		Expect(receiveRecord("b", 2, "c")).To(ConsistOf(self, member.ID("b"), member.ID("c")))
		Expect(infos()).To(Equal(infosBefore))
		Expect(states()).To(Equal(statesBefore))
		Expect(peers.published.Load().serving).To(HaveLen(2))
	})
})
