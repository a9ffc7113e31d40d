package prefixindex_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPrefixIndex(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prefixindex")
}
