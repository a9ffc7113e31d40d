package sim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestDebug2(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	world := newSimulation(Settings{Seed: seed, Virtual: DefaultVirtual})
	world.build()
	world.scheduleStart()
	world.scheduleFaults()
	world.scheduleOperators()
	world.scheduleCalm()
	defer func() {
		recover()
		for _, n := range world.nodes {
			if n.view != nil {
				fmt.Println(n.info.ID, n.up, n.view.Revision, len(n.view.Pools), n.view.Configuration.GetRevision(), len(n.view.Configuration.GetTenants()), n.serving())
			} else {
				fmt.Println(n.info.ID, n.up, "no view")
			}
		}
	}()
	world.loop()
}
