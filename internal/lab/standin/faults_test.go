package standin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

var _ = Describe("ReadFaults", func() {
	read := func(body string) (standin.Faults, bool, *httptest.ResponseRecorder) {
		response := httptest.NewRecorder()
		faults, ok := standin.ReadFaults(response, httptest.NewRequest(http.MethodPost, "/lab/faults", strings.NewReader(body)))
		return faults, ok, response
	}

	It("reads faults from a request body", func() {
		faults, ok, _ := read(`{"refuse_ratio": 0.5, "crash": true}`)
		Expect(ok).To(BeTrue())
		Expect(faults).To(Equal(standin.Faults{RefuseRatio: 0.5, Crash: true}))
	})

	DescribeTable("rejects invalid faults with the kind of the problem",
		func(body, kind string) {
			_, ok, response := read(body)
			Expect(ok).To(BeFalse())
			Expect(response.Code).To(Equal(http.StatusBadRequest))
			Expect(response.Body.String()).To(ContainSubstring(kind))
		},
		Entry("ratio out of range", `{"refuse_ratio": 2}`, "bad_faults"),
		Entry("negative slow_link", `{"slow_link": -1}`, "bad_faults"),
		Entry("unknown field", `{"refuse": 1}`, "bad_body"),
	)
})
