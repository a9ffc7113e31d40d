package sim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	at, _ := time.ParseDuration(os.Getenv("AT"))
	world := newSimulation(Settings{Seed: seed, Virtual: DefaultVirtual, Break: Break(os.Getenv("BREAK")), Timeline: true})
	world.build()
	world.scheduleStart()
	world.scheduleFaults()
	world.scheduleOperators()
	world.scheduleCalm()
	world.at(at, func() {
		for _, n := range world.nodes {
			if n.up {
				fmt.Println(n.info.ID, n.now())
				n.machine.Debug()
			}
		}
	})
	defer func() { recover(); fmt.Println(world.timeline.draw(world)) }()
	world.loop()
}
