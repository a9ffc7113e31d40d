package proxybench_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestProxyBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Proxy Bench Suite")
}
