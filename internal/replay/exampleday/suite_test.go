package exampleday_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExampleDay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Example Day Suite")
}
