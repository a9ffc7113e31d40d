package dataplane_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDataplane(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dataplane Suite")
}
