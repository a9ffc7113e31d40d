package driver

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/logring"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

var _ = Describe("Driver", func() {
	It("logs one incident for each growth of the count of unreadable log entries", func() {
		var written bytes.Buffer
		log := logrus.NewEntry(logring.New(9, &written).Logger(logrus.InfoLevel))
		machine := newSoloMachine(map[uint32]replication.DurableState{control.ConfigurationShard: {
			HardState: replication.HardState{Term: 1},
			Entries:   []replication.Entry{{Index: 1, Term: 1, Kind: replication.EntryCommand, Command: []byte{0xff}}},
		}})
		driver := New(machine, Options{Log: log})
		driver.logIncidents()
		Expect(written.String()).To(BeEmpty())
		run(machine, 3*time.Second)
		driver.logIncidents()
		driver.logIncidents()
		Expect(strings.Count(written.String(), `"incident":"invariant"`)).To(Equal(1))
		Expect(written.String()).To(ContainSubstring(`"bad_entries":1`))
	})

	It("logs one incident when other nodes have fenced the node's incarnation", func() {
		var written bytes.Buffer
		log := logrus.NewEntry(logring.New(9, &written).Logger(logrus.InfoLevel))
		machine := newSoloMachine(nil)
		driver := New(machine, Options{Log: log})
		ended := machine.Self()
		ended.Incarnation += 5
		machine.Receive(time.Second, wire.Envelope{Membership: &membership.Message{
			Type:    membership.MessageGossip,
			From:    member.Info{ID: "b", Address: "127.0.0.1:2", Incarnation: 1},
			Records: []membership.Record{{Info: ended, State: membership.StateFenced, Version: 1}},
		}})
		driver.logIncidents()
		driver.logIncidents()
		Expect(strings.Count(written.String(), `"incident":"fence"`)).To(Equal(1))
	})
})
