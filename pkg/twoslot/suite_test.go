package twoslot_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTwoslot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "twoslot")
}
