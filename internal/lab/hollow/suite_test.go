package hollow

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Hollow")
}

// small are the settings of a small run, for tests to change.
func small() Settings {
	return Settings{
		Nodes: 7, Core: 3, Zones: 3, Replicas: 5, Tenants: 4,
		Duration: 3 * second, ConvergenceTimeout: 30 * second, StartEvery: second / 100, Stretch: 1,
		ChangeEvery: second, ChunksPerReplica: 16, Sockets: SharedSockets, MemoryLimit: DefaultMemoryLimit, Seed: 1,
	}
}
