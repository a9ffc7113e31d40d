package dispatch

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

var _ = Describe("lateStarts", func() {
	const deadline = 10 * time.Second
	var output *bytes.Buffer
	var starts *lateStarts
	replica := routing.Replica{Address: "10.0.0.1:1", WeightVersion: "1", Outdated: true, WeightsDeadline: deadline}

	BeforeEach(func() {
		output = &bytes.Buffer{}
		logger := logrus.New()
		logger.SetOutput(output)
		logger.SetFormatter(&logrus.JSONFormatter{})
		starts = &lateStarts{log: logrus.NewEntry(logger)}
	})

	It("tells how long an attempt waited that began after the deadline of its weights", func() {
		starts.began(deadline+time.Second, deadline-2*time.Second, replica)
		Expect(output.String()).To(And(ContainSubstring(`"began_after_ms":1000`), ContainSubstring(`"waited_ms":3000`)))
	})

	It("logs at most one message per interval, and counts the other attempts", func() {
		for range 3 {
			starts.began(deadline, deadline, replica)
		}
		Expect(bytes.Count(output.Bytes(), []byte("\n"))).To(Equal(1))
		starts.began(deadline+lateStartInterval, deadline, replica)
		Expect(output.String()).To(ContainSubstring(`"suppressed":2`))
	})

	It("logs nothing before the deadline, or for a replica with the named weights", func() {
		starts.began(deadline-1, 0, replica)
		current := replica
		current.Outdated = false
		starts.began(deadline+time.Second, 0, current)
		Expect(output.String()).To(BeEmpty())
	})
})
