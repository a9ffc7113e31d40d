package logring_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/logring"
)

func TestLogring(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "log ring")
}

var _ = Describe("Ring", func() {
	It("writes nothing in quiet times and the newest entries on an error, once", func() {
		var output bytes.Buffer
		logger := logring.New(3, &output).Logger(logrus.InfoLevel)
		for _, text := range []string{"one", "two", "three"} {
			logger.Info(text)
		}
		Expect(output.String()).To(BeEmpty())
		logger.Error("broken")
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[0]).To(ContainSubstring("two"))
		Expect(lines[2]).To(ContainSubstring("broken"))
		output.Reset()
		logger.Error("again")
		Expect(strings.Split(strings.TrimSpace(output.String()), "\n")).To(HaveLen(1))
	})
})
