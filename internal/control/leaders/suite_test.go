package leaders

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLeaders(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leaders")
}
