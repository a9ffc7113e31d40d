package dynamic_test

import (
	"errors"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gcustom"
	"github.com/onsi/gomega/types"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

func TestDynamic(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dynamic configuration")
}

// validDocument returns the JSON text of a valid configuration with elements of every kind.
func validDocument() []byte {
	data, err := os.ReadFile("testdata/valid.json")
	Expect(err).NotTo(HaveOccurred())
	return data
}

func validConfiguration() *ridgeswitchv1.Configuration {
	configuration, err := dynamic.Parse(validDocument())
	Expect(err).NotTo(HaveOccurred())
	Expect(dynamic.Validate(configuration)).To(Succeed())
	return configuration
}

// faultsOf returns each fault of an error as "kind field".
func faultsOf(err error) []string {
	var single *dynamic.Error
	var all dynamic.Errors
	var found []string
	switch {
	case errors.As(err, &all):
		for _, fault := range all {
			Expect(fault.Message).NotTo(BeEmpty())
			found = append(found, string(fault.Kind)+" "+fault.Field)
		}
	case errors.As(err, &single):
		found = append(found, string(single.Kind)+" "+single.Field)
	}
	return found
}

// equalMessage matches a message that is equal to the expected one.
func equalMessage(expected proto.Message) types.GomegaMatcher {
	return gcustom.MakeMatcher(func(actual proto.Message) (bool, error) {
		return proto.Equal(expected, actual), nil
	}).WithTemplate("Expected\n{{.FormattedActual}}\nto equal\n{{format .Data 1}}", expected)
}
