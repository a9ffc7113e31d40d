// Package sample_test holds tests whose outcome is known, for the tests of
// knownred.
package sample_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSample(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sample suite")
}

func TestPlainRed(t *testing.T) {
	t.Fatal("always")
}

var _ = Describe("a sample", func() {
	It("fails (always)", func() { Expect(1).To(Equal(2)) })
	It("passes", func() { Expect(1).To(Equal(1)) })
	It("ends with twice", func() { Expect(1).To(Equal(1)) })
	It("also ends with twice", func() { Expect(1).To(Equal(1)) })
})
