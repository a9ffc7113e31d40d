package eventstream_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEventStream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event stream")
}
