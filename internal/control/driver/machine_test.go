package driver

import (
	"time"

	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// idleTraffic is a routing.LoadReader that reports no requests in flight.
type idleTraffic struct{}

func (idleTraffic) InFlight(string) int { return 0 }

// newSoloMachine returns the machine of the only node of a deployment, which starts from
// the restored state of its disk.
func newSoloMachine(restored map[uint32]replication.DurableState) *control.Machine {
	machine, err := control.New(control.Config{
		Self:          member.Info{ID: "a", Address: "127.0.0.1:1", Zone: "z1", HoldsState: true, Incarnation: 1},
		Group:         []member.ID{"a"},
		ServiceShards: 1,
		Times:         control.DefaultTimes(),
	}, restored, idleTraffic{}, 0)
	Expect(err).NotTo(HaveOccurred())
	return machine
}

// run ticks a machine in virtual time, with a disk whose writes are durable at once.
func run(machine *control.Machine, duration time.Duration) {
	now := machine.Now()
	var write func(output control.Output)
	write = func(output control.Output) {
		for _, pending := range output.Writes {
			write(machine.StorageWritten(now, pending.Shard))
		}
	}
	for end := now + duration; now < end; now += control.DefaultTickEvery {
		write(machine.Tick(now))
	}
}
