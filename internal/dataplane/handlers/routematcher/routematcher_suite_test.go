package routematcher

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRouteMatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route matcher")
}
