package attempts_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAttempts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Attempts Suite")
}
