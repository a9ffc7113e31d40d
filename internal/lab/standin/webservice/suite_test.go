package webservice_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWebservice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "webservice")
}
