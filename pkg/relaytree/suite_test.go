package relaytree_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRelayTree(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relaytree")
}
