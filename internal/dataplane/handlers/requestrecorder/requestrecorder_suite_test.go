package requestrecorder

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRequestRecorder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "request recorder")
}
