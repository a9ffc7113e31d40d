package dispatch

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

var _ = Describe("invalidResponses", func() {
	It("logs at most one response per interval with what tells its cause, and counts the others", func() {
		output := &bytes.Buffer{}
		logger := logrus.New()
		logger.SetOutput(output)
		logger.SetFormatter(&logrus.JSONFormatter{})
		responses := &invalidResponses{log: logrus.NewEntry(logger)}
		response := invalidResponse{
			address: "10.0.0.1:1", requestID: "r-1", attempt: 2, lastEventID: "7", relaying: true,
			cause: &outbound.InvalidResponseError{Kind: outbound.Malformed, Reason: "garbage", Cause: errors.New("secret")},
		}
		for range 3 {
			responses.add(0, response)
		}
		Expect(bytes.Count(output.Bytes(), []byte("\n"))).To(Equal(1))
		Expect(output.String()).To(And(
			ContainSubstring(`"backend":"10.0.0.1:1"`), ContainSubstring(`"request":"r-1"`), ContainSubstring(`"attempt":2`),
			ContainSubstring(`"last_event_id":"7"`), ContainSubstring(`"relaying":true`), ContainSubstring(`"kind":"malformed"`),
			ContainSubstring(`"reason":"garbage"`), ContainSubstring(`"cause_type":"*errors.`)))
		// Guards against generated text in logs: the cause may quote what the back end sent.
		Expect(output.String()).NotTo(ContainSubstring("secret"))
		responses.add(invalidResponseInterval, response)
		Expect(output.String()).To(ContainSubstring(`"suppressed":2`))
	})
})
