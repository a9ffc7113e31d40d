package faults_test

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/faults"
)

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Faults")
}

type fault struct{ field string }

func (f *fault) Error() string { return faults.Text(f.field, "is wrong") }

var _ = Describe("A list of faults", func() {
	list := []*fault{{field: "seeds[1]"}, {}}

	It("is formatted one per line, with the field if a fault has one", func() {
		Expect(faults.Lines(list)).To(Equal("seeds[1]: is wrong\nis wrong"))
	})

	It("gives errors.As access to each fault", func() {
		var first *fault
		Expect(errors.As(errors.Join(faults.AsErrors(list)...), &first)).To(BeTrue())
		Expect(first).To(BeIdenticalTo(list[0]))
	})
})
