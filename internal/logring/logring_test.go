package logring_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

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
	It("writes nothing below level Error, and on an error writes the newest entries once", func() {
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

	It("is written out at most once a minute for incidents of one kind, and loses no entry", func() {
		var output bytes.Buffer
		log := logrus.NewEntry(logring.New(9, &output).Logger(logrus.InfoLevel))
		at := func(second int, kind logring.IncidentKind) int {
			output.Reset()
			logring.Incident(log, kind).WithTime(time.Unix(int64(second), 0)).Warn("incident")
			return strings.Count(output.String(), `"incident":"`)
		}
		log.Info("before")
		Expect(at(100, logring.Fence)).To(Equal(1))
		Expect(output.String()).To(HavePrefix(`{"level":"info","msg":"before"`))
		Expect(at(100, logring.Fence)).To(BeZero())
		Expect(at(159, logring.Fence)).To(BeZero())
		Expect(at(159, logring.Invariant)).To(Equal(3))
		Expect(at(160, logring.Fence)).To(Equal(1))
		Expect(at(20, logring.Fence)).To(Equal(1), "after the clock was set back")
	})
})
