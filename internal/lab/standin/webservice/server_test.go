package webservice_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/webservice"
)

var _ = Describe("Server", func() {
	var server *httptest.Server
	BeforeEach(func() {
		server = httptest.NewServer(webservice.New("calendar", 1).Handler())
		DeferCleanup(server.Close)
	})
	get := func(path string) (*http.Response, []byte, error) {
		response, err := http.Get(server.URL + path)
		if err != nil {
			return nil, nil, err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return response, body, err
	}
	setFaults := func(faults string) {
		response, err := http.Post(server.URL+"/lab/faults", "application/json", strings.NewReader(faults))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}

	It("serves pages and larger files with a digest", func() {
		response, page, err := get("/hearings/3")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get(standin.HeaderDigest)).To(Equal(webservice.Digest(page)))
		_, file, err := get("/files/hearings/3")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(file)).To(BeNumerically(">", len(page)))
	})

	It("truncates responses and refuses requests according to the faults, and records both", func() {
		setFaults(`{"cut_ratio":1,"cut_at_byte":100}`)
		_, page, err := get("/hearings/3")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(page).To(HaveLen(100))
		setFaults(`{"refuse_ratio":1}`)
		response, _, err := get("/hearings/4")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Not-Run")).To(Equal("true"))
		_, log, err := get("/lab/executions")
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(ContainSubstring(`"refused":false,"delivered":false`))
		Expect(lines[1]).To(ContainSubstring(`"refused":true`))
	})
})
