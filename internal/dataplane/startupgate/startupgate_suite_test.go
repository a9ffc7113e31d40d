package startupgate

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStartupGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "start-up gate")
}
