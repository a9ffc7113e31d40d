package confirmation

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfirmation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "confirmation")
}
