package operator_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

const (
	limits    = `"limits":{"requests_per_second":1,"burst":1,"concurrent_requests":1,"queued_requests":1,"queue_timeout_ms":1}`
	firstBody = `{"order":{"order_id":"first"},"configuration":{"tenants":[{"name":"t",` + limits + `,"keys":[{"name":"old","sha256":"` +
		`e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}]}],` +
		`"pools":[{"name":"p","model":"m","service":"s","weight_version":"w","request_timeout_ms":5}]}}`
	acknowledged = `"outcome":"ACKNOWLEDGED"`
)

// endlessReader returns more spaces than a node may read of a body.
type endlessReader struct {
	read int
}

func (e *endlessReader) Read(into []byte) (int, error) {
	if e.read > 4*dynamic.MaxDocumentBytes {
		return 0, io.EOF
	}
	e.read += len(into)
	return copy(into, bytes.Repeat([]byte(" "), len(into))), nil
}

var _ = Describe("Control interface", func() {
	var n *fakeNode

	BeforeEach(func() {
		n = newFakeNode()
		Expect(call(n, "PUT /v1/configuration", firstBody).body).To(Equal(`{"outcome":"ACKNOWLEDGED","revision":"1"}` + "\n"))
	})

	DescribeTable("responds to a call for", func(target, body string, status int, fragments ...string) {
		got := call(n, target, body)
		Expect(got.status).To(Equal(status), got.body)
		Expect(got.header.Get("Content-Type")).To(Equal("application/json"))
		for _, fragment := range fragments {
			Expect(got.body).To(ContainSubstring(fragment))
		}
	},
		Entry("the configuration", "GET /v1/configuration", "", 200, `"revision":"1"`, `"wall_epoch":"1"`, `"sha256":"e3b0c442`),
		Entry("no source document", "GET /v1/configuration/source", "", 404, `"kind":"not_found"`),
		Entry("a document without an order ID", "PUT /v1/configuration", `{"configuration":{},"source":{"version":3,"document":"Zmlyc3Q="}}`, 200, acknowledged, `"revision":"2"`),
		Entry("a document with another base version", "PUT /v1/configuration", `{"configuration":{},"source":{"version":3,"base_version":2}}`, 409, `"kind":"base_revision_stale"`, `"field":"source.base_version"`),
		Entry("a document whose version is not above the current one", "PUT /v1/configuration", `{"configuration":{},"source":{"version":2,"base_version":2}}`, 409, `"kind":"source_version_not_above"`),
		Entry("the status", "GET /v1/status", "", 200, `"node":"front-1"`, `"fenced":false`),
		Entry("weights", "GET /v1/pools/p/weights", "", 200, `"weight_version":"w"`),
		Entry("weights of an unknown pool", "GET /v1/pools/x/weights", "", 404, `"kind":"not_found"`, `"field":"pool"`),
		Entry("weights whose state is lost", "GET /v1/pools/lost/weights", "", 503, `"kind":"unavailable"`, "shard state lost"),
		Entry("a new key", "POST /v1/tenants/t/keys", `{"order":{"order_id":"a"},"key":{"name":"k","sha256":"`+dynamic.KeyDigest("s")+`"}}`, 200, acknowledged, `"revision":"2"`),
		Entry("a secret in place of a digest", "POST /v1/tenants/t/keys", `{"order":{"order_id":"a"},"key":{"name":"k","sha256":"s"}}`, 400, `"field":"key.sha256"`),
		Entry("a revoked key, without a body", "DELETE /v1/tenants/t/keys/old?order_id=a&base_revision=1", "", 200, acknowledged),
		Entry("the revocation of an unknown key", "DELETE /v1/tenants/t/keys/new?order_id=a", "", 404, `"kind":"not_found"`, `"revision":"1"`),
		Entry("a walled tenant", "PUT /v1/tenants/t/wall?order_id=a", "", 200, acknowledged),
		Entry("an unwalled tenant that has no wall", "DELETE /v1/tenants/t/wall?order_id=a", "", 200, `"revision":"1"`),
		Entry("an evacuated zone", "PUT /v1/zones/a/evacuation?order_id=a&reason=power%20work", "", 200, acknowledged),
		Entry("a restored zone", "DELETE /v1/zones/a/evacuation?order_id=a", "", 200, acknowledged),
		Entry("named weights", "PUT /v1/pools/p/weights", `{"order":{"order_id":"a"},"weight_version":"w2"}`, 200, acknowledged),
		Entry("a resend", "PUT /v1/configuration", firstBody, 200, acknowledged, `"revision":"1"`),
		Entry("an order ID that another order has used", "PUT /v1/zones/a/evacuation?order_id=first", "", 409, `"kind":"order_id_conflict"`),
		Entry("a stale base revision", "PUT /v1/zones/a/evacuation?order_id=a&base_revision=7", "", 409, `"kind":"base_revision_stale"`, `"revision":"1"`),
		Entry("a complete configuration without a base revision", "PUT /v1/configuration?order_id=a", `{"configuration":{}}`, 409, `"kind":"base_revision_stale"`),
		Entry("an evacuation without an order ID", "PUT /v1/zones/a/evacuation", "", 400, `"kind":"order_id_missing"`, `"field":"order.order_id"`),
		Entry("an unknown field", "PUT /v1/configuration", `{"configuration":{"tenants":[{"nane":"t"}]}}`, 400, `"kind":"unknown_field"`, `"field":"configuration.tenants[0].nane"`),
		Entry("an invalid configuration", "PUT /v1/configuration?order_id=a", `{"configuration":{"routes":[{"host":"h","pool":"x"}]}}`, 400, `"kind":"dangling_reference"`, `"field":"routes[0].pool"`),
		Entry("no configuration", "PUT /v1/configuration?order_id=a", "", 400, `"kind":"missing"`),
		Entry("a body that is not JSON", "PUT /v1/configuration", "{", 400, `"kind":"malformed"`),
		Entry("an unknown query parameter", "PUT /v1/zones/a/evacuation?order=a", "", 400, `"kind":"unknown_field"`, `"field":"order"`),
		Entry("an invalid number", "PUT /v1/zones/a/evacuation?order_id=a&base_revision=1,%22x%22:2", "", 400, `"field":"order.base_revision"`),
		Entry("an invalid escape in the query", "PUT /v1/zones/a/evacuation?order_id=%zz", "", 400, `"kind":"malformed"`),
		Entry("different values in path and body", "PUT /v1/zones/a/evacuation?order_id=a", `{"zone":"b"}`, 400, `"field":"zone"`),
		Entry("different values within the query", "PUT /v1/zones/a/evacuation?order_id=a&order_id=b", "", 400, `"field":"order.order_id"`),
		Entry("an oversized body", "PUT /v1/configuration", strings.Repeat(" ", dynamic.MaxDocumentBytes+128<<10), 413, `"kind":"oversize"`),
		Entry("an unknown path", "GET /v2/configuration", "", 404, `"kind":"no_such_call"`),
		Entry("an unsupported method", "POST /v1/status", "", 405, `"kind":"method_not_allowed"`),
		Entry("readiness", "GET /healthz/ready", "", 200, `"status":"ok"`),
		Entry("liveness", "GET /healthz/live", "", 200, `"status":"ok"`),
	)

	It("returns the source document as it was sent", func() {
		const document = `{"configuration":{},"source":{"version":3,"document":"Zmlyc3Q="}}`
		Expect(call(n, "PUT /v1/configuration", document).status).To(Equal(http.StatusOK))
		Expect(call(n, "GET /v1/configuration/source", "").body).To(MatchJSON(`{"version":"3","base_version":"0","document":"Zmlyc3Q="}`))
		n.submitError = errors.New("no quorum")
		Expect(call(n, "GET /v1/configuration/source", "").status).To(Equal(http.StatusServiceUnavailable))
	})

	It("returns the configuration confirmed by a quorum, and the one that the node serves only on request", func() {
		n.submitError = errors.New("no quorum")
		refused := call(n, "GET /v1/configuration", "")
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(ContainSubstring(`"kind":"no_leader"`))
		Expect(call(n, "GET /v1/configuration?local=true", "").body).To(ContainSubstring(`"revision":"1"`))
		n.submitError, n.machine = nil, nil
		Expect(call(n, "GET /v1/configuration?local=true", "").status).To(Equal(http.StatusServiceUnavailable))
	})

	It("stops reading a body beyond the size limit", func() {
		endless := &endlessReader{}
		handler, err := operator.NewHandler(n, n)
		Expect(err).NotTo(HaveOccurred())
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/v1/configuration", endless))
		Expect(recorder.Code).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(endless.read).To(BeNumerically("<", 2*dynamic.MaxDocumentBytes))
	})

	It("responds to a pending order with 202, and acknowledges the resent order", func() {
		n.pending = true
		const target = "PUT /v1/zones/a/evacuation?order_id=a"
		got := call(n, target, "")
		Expect(got.status).To(Equal(http.StatusAccepted))
		Expect(got.body).To(Equal(`{"outcome":"PENDING","revision":"2"}` + "\n"))
		n.pending = false
		Expect(call(n, target, "").body).To(ContainSubstring(`"ACKNOWLEDGED","revision":"2"`))
	})

	DescribeTable("reports what is known of the order when control fails", func(failure error, status int, retryAfter, fragment string) {
		n.submitError = failure
		got := call(n, "PUT /v1/zones/a/evacuation?order_id=a", "")
		Expect(got.status).To(Equal(status))
		Expect(got.header.Get("Retry-After")).To(Equal(retryAfter))
		Expect(got.body).To(ContainSubstring(fragment))
	},
		Entry("after a time-out", errors.WithStack(context.DeadlineExceeded), 202, "1", "PENDING"),
		Entry("without a leader", errors.WithStack(&operator.UnavailableError{Kind: operator.KindNoLeader, Message: "m", RetryAfter: 1500 * time.Millisecond}), 503, "2", `"no_leader"`),
		Entry("after an unknown error", errors.New("disk failed"), 503, "1", "may have taken effect: resend it unchanged"),
		Entry("after an error of an unknown kind", &dynamic.Error{Kind: "new"}, 500, "", `"new"`),
	)

	It("responds before the first configuration, when not ready, and after a panic", func() {
		n.machine = nil
		n.ready = errors.New("cut off; wait for the other nodes")
		Expect(call(n, "GET /v1/configuration", "").status).To(Equal(http.StatusServiceUnavailable))
		ready := call(n, "GET /healthz/ready", "")
		Expect(ready.status).To(Equal(http.StatusServiceUnavailable))
		Expect(ready.body).To(ContainSubstring("cut off"))
		failed := call(n, "GET /v1/status", "")
		Expect(failed.status).To(Equal(http.StatusInternalServerError))
		Expect(failed.body).To(ContainSubstring(`"kind":"internal"`))
	})

	It("serves the metrics of a node that has any", func() {
		Expect(call(n, "GET /metrics", "").status).To(Equal(http.StatusNotFound))
		metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("up 1")) })
		handler, err := operator.NewHandler(n, n, operator.WithMetrics(metrics))
		Expect(err).NotTo(HaveOccurred())
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, operator.PathMetrics, nil))
		Expect(recorder.Body.String()).To(Equal("up 1"))
	})

	It("serves until Stop, and reports an address in use", func() {
		budget := inbound.NewBudget(inbound.LimitsOf(inbound.Machine{}))
		server, err := operator.NewServer("127.0.0.1:0", budget, n, n)
		Expect(err).NotTo(HaveOccurred())
		_, err = operator.NewServer(server.Address(), budget, n, n)
		Expect(err).To(MatchError(ContainSubstring("change control in the settings")))
		served := make(chan error, 1)
		go func() { served <- server.Start() }()
		response, err := http.Get("http://" + server.Address() + operator.PathLive)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		server.Stop()
		Expect(<-served).To(Succeed())
		again, err := operator.NewServer(server.Address(), budget, n, n)
		Expect(err).NotTo(HaveOccurred())
		again.Stop()
		Expect(again.Start()).To(Succeed())
	})
})
