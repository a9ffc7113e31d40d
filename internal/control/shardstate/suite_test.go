package shardstate

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShardState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shardstate")
}
