package timelinetest_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTimelinetest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timelinetest")
}
