package caller_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// requestWithHeader returns a request with one header.
func requestWithHeader(method, name, value string) *http.Request {
	request := httptest.NewRequest(method, "/", nil)
	request.Header.Set(name, value)
	return request
}

var _ = Describe("Parse", func() {
	It("reads every header", func() {
		request := httptest.NewRequest(http.MethodPost, "/", nil)
		for name, value := range map[string]string{
			"Model": "large", "Prefix": "a;tokens=3,b;tokens=4", "Request-Id": "r-1", "Repeatable": "true",
			"Deadline-Ms": "250", "Output-Tokens": "9", "Accept": "application/json, text/event-stream;q=0.9",
		} {
			request.Header.Set(name, value)
		}
		Expect(caller.Parse(request)).To(Equal(caller.Request{
			ID: "r-1", Model: "large", Idempotent: true, Deadline: 250 * time.Millisecond, OutputTokens: 9, Streamed: true,
			Chunks: []prefixindex.Chunk{{ID: "a", Tokens: 3}, {ID: "b", Tokens: 4}},
		}))
	})

	DescribeTable("takes only methods that are safe for repeatable by themselves", func(method string, repeatable bool) {
		parsed, err := caller.Parse(httptest.NewRequest(method, "/", nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Idempotent).To(Equal(repeatable))
	},
		Entry("GET", http.MethodGet, true), Entry("HEAD", http.MethodHead, true),
		Entry("POST", http.MethodPost, false), Entry("PUT", http.MethodPut, false), Entry("DELETE", http.MethodDelete, false),
	)

	DescribeTable("refuses", func(name, value string) {
		_, err := caller.Parse(requestWithHeader(http.MethodPost, name, value))
		var problem *caller.Error
		Expect(errors.As(err, &problem)).To(BeTrue())
		Expect(problem.Kind).To(Equal(caller.KindBadRequest))
		Expect(problem.Message).To(HavePrefix(name))
		Expect(problem.MayHaveRun).To(BeFalse())
	},
		Entry("a chunk without tokens", "Prefix", "a"),
		Entry("a chunk without a name", "Prefix", ";tokens=3"),
		Entry("a chunk of no length", "Prefix", "a;tokens=0"),
		Entry("a chunk that is too long", "Prefix", "a;tokens=99999999999"),
		Entry("an unknown parameter", "Prefix", "a;bytes=3"),
		Entry("an empty part", "Prefix", "a;tokens=3,,b;tokens=3"),
		Entry("a name with a blank", "Prefix", "a b;tokens=3"),
		Entry("too many chunks", "Prefix", strings.Repeat("a;tokens=1,", caller.MaxChunks)+"a;tokens=1"),
		Entry("too many tokens", "Prefix", strings.Repeat("a;tokens=16777216,", 8)+"a;tokens=16777216"),
		Entry("a long identity", "Request-Id", strings.Repeat("x", caller.MaxRequestIDBytes+1)),
		Entry("an identity that cannot be echoed", "Request-Id", "é"),
		Entry("a negative deadline", "Deadline-Ms", "-1"),
		Entry("an endless deadline", "Deadline-Ms", "99999999999"),
		Entry("no output", "Output-Tokens", "0"),
		Entry("a doubtful repeatable", "Repeatable", "maybe"),
	)

	It("reads what it writes", func() {
		chunks := []prefixindex.Chunk{{ID: "a", Tokens: 3}, {ID: "b", Tokens: 4}}
		Expect(caller.ParsePrefix(caller.FormatPrefix(chunks))).To(Equal(chunks))
	})
})

var _ = Describe("KeyDigest", func() {
	It("is the SHA-256 of the key", func() {
		digest, given := caller.KeyDigest(requestWithHeader(http.MethodGet, "Authorization", "bearer abc").Header)
		Expect(given).To(BeTrue())
		Expect(digest).To(Equal("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"))
	})

	DescribeTable("needs the scheme and a key", func(value string) {
		_, given := caller.KeyDigest(requestWithHeader(http.MethodGet, "Authorization", value).Header)
		Expect(given).To(BeFalse())
	}, Entry("nothing", ""), Entry("no key", "Bearer "), Entry("another scheme", "Basic abc"))
})

var _ = Describe("HostName", func() {
	DescribeTable("is lower case without port", func(host, expected string) {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Host = host
		Expect(caller.HostName(request)).To(Equal(expected))
	}, Entry("plain", "A.Example", "a.example"), Entry("port", "a.example:7200", "a.example"), Entry("root", "a.example.", "a.example"))
})

var _ = Describe("WriteProblem", func() {
	It("says everything a caller needs", func() {
		recorder := httptest.NewRecorder()
		problem := caller.NewError(caller.KindRateLimited, "slow down").WithRetryAfter(1100 * time.Millisecond)
		problem.RequestID = "r-1"
		caller.WriteError(recorder, problem)
		Expect(recorder.Code).To(Equal(http.StatusTooManyRequests))
		Expect(recorder.Header().Get("Retry-After")).To(Equal("2"))
		Expect(recorder.Body.String()).To(MatchJSON(`{"kind":"rate_limited","message":"slow down","may_have_run":false,"request_id":"r-1"}`))
	})

	It("has a status of its own for every kind", func() {
		for _, kind := range []caller.Kind{
			caller.KindBadRequest, caller.KindHeaderTooLarge, caller.KindBodyTooLarge, caller.KindNotServing, caller.KindUnauthorized, caller.KindUnknownHost,
			caller.KindModelMismatch, caller.KindDuplicateRequest, caller.KindRateLimited, caller.KindQueueFull,
			caller.KindQueueTimeout, caller.KindDeadlineUnreachable, caller.KindClaimUndecided, caller.KindNoBackend, caller.KindBackendsBusy, caller.KindBackendRefused,
			caller.KindRetryBudgetSpent, caller.KindDeadlineExceeded, caller.KindOutcomeUnknown, caller.KindResponseTruncated,
		} {
			Expect(caller.NewError(kind, "x").Status()).NotTo(Equal(http.StatusInternalServerError), string(kind))
		}
	})
})
