package sim

import (
	"runtime/debug"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSim(t *testing.T) {
	// Many small deployments live for a moment each: memory is plenty.
	const gcPercent = 400
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	RegisterFailHandler(Fail)
	RunSpecs(t, "sim")
}
