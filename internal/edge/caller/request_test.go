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

	DescribeTable("treats only safe methods as repeatable without the header", func(method string, repeatable bool) {
		parsed, err := caller.Parse(httptest.NewRequest(method, "/", nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Idempotent).To(Equal(repeatable))
	},
		Entry("GET", http.MethodGet, true), Entry("HEAD", http.MethodHead, true),
		Entry("POST", http.MethodPost, false), Entry("PUT", http.MethodPut, false), Entry("DELETE", http.MethodDelete, false),
	)

	DescribeTable("rejects", func(name, value string) {
		_, err := caller.Parse(requestWithHeader(http.MethodPost, name, value))
		var problem *caller.Error
		Expect(errors.As(err, &problem)).To(BeTrue())
		Expect(problem.Kind).To(Equal(caller.KindBadRequest))
		Expect(problem.Message).To(HavePrefix(name))
		Expect(problem.MayHaveRun).To(BeFalse())
	},
		Entry("a chunk without tokens", "Prefix", "a"),
		Entry("a chunk without an ID", "Prefix", ";tokens=3"),
		Entry("a chunk of 0 tokens", "Prefix", "a;tokens=0"),
		Entry("a chunk with too many tokens", "Prefix", "a;tokens=99999999999"),
		Entry("an unknown parameter", "Prefix", "a;bytes=3"),
		Entry("an empty chunk", "Prefix", "a;tokens=3,,b;tokens=3"),
		Entry("a chunk ID with a space", "Prefix", "a b;tokens=3"),
		Entry("too many chunks", "Prefix", strings.Repeat("a;tokens=1,", caller.MaxChunks)+"a;tokens=1"),
		Entry("too many tokens", "Prefix", strings.Repeat("a;tokens=16777216,", 8)+"a;tokens=16777216"),
		Entry("a request ID that is too long", "Request-Id", strings.Repeat("x", caller.MaxRequestIDBytes+1)),
		Entry("a request ID with a non-ASCII character", "Request-Id", "é"),
		Entry("a negative deadline", "Deadline-Ms", "-1"),
		Entry("a deadline above the limit", "Deadline-Ms", "99999999999"),
		Entry("0 output tokens", "Output-Tokens", "0"),
		Entry("a repeatable that is neither true nor false", "Repeatable", "maybe"),
	)

	It("parses what FormatPrefix formats", func() {
		chunks := []prefixindex.Chunk{{ID: "a", Tokens: 3}, {ID: "b", Tokens: 4}}
		Expect(caller.ParsePrefix(caller.FormatPrefix(chunks))).To(Equal(chunks))
	})
})

var _ = Describe("KeyDigest", func() {
	It("returns the SHA-256 digest of the key", func() {
		digest, given := caller.KeyDigest(requestWithHeader(http.MethodGet, "Authorization", "bearer abc").Header)
		Expect(given).To(BeTrue())
		Expect(digest).To(Equal("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"))
	})

	DescribeTable("requires the bearer scheme and a key", func(value string) {
		_, given := caller.KeyDigest(requestWithHeader(http.MethodGet, "Authorization", value).Header)
		Expect(given).To(BeFalse())
	}, Entry("empty", ""), Entry("no key", "Bearer "), Entry("another scheme", "Basic abc"))
})

var _ = Describe("HostName", func() {
	DescribeTable("returns the host in lower case without its port", func(host, expected string) {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Host = host
		Expect(caller.HostName(request)).To(Equal(expected))
	}, Entry("plain", "A.Example", "a.example"), Entry("with a port", "a.example:7200", "a.example"), Entry("with a trailing dot", "a.example.", "a.example"))
})

var _ = Describe("WriteError", func() {
	It("writes the status, the retry time and the fields of the error", func() {
		recorder := httptest.NewRecorder()
		problem := caller.NewError(caller.KindRateLimited, "slow down").WithRetryAfter(1100 * time.Millisecond)
		problem.RequestID = "r-1"
		caller.WriteError(recorder, problem)
		Expect(recorder.Code).To(Equal(http.StatusTooManyRequests))
		Expect(recorder.Header().Get("Retry-After")).To(Equal("2"))
		Expect(recorder.Body.String()).To(MatchJSON(`{"kind":"rate_limited","message":"slow down","may_have_run":false,"request_id":"r-1"}`))
	})

	It("maps every kind but internal to a status other than 500", func() {
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
