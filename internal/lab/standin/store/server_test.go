package store_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/store"
)

var _ = Describe("Server", func() {
	chunk := emulator.CachedChunk{Hash: 0xab, Parent: 0xaa, Tokens: 50, Tenant: "t", WeightVersion: "v1"}
	var server *store.Server
	call := func(method, path, body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
		return recorder
	}
	encoded := func() string {
		data, err := json.Marshal(chunk)
		Expect(err).NotTo(HaveOccurred())
		return string(data)
	}
	BeforeEach(func() {
		var err error
		server, err = store.New(store.Settings{
			Incarnation: 4, CapacityTokens: 100, TimeScale: 1000,
			Links: emulator.DefaultLinks(0), ReportEvery: time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
	})

	It("stores a pushed chunk with its tenant and weight version, and reports it", func() {
		Expect(call("PUT", protocol.PathChunks+"ab", encoded()).Code).To(Equal(http.StatusNoContent))
		Expect(call("GET", protocol.PathChunks+"ab", "").Body.String()).To(MatchJSON(encoded()))
		Expect(server.Report().CachedTokens).To(Equal(uint64(50)))
		events, _ := server.EventsAfter(standin.Position{Known: true, Incarnation: 4, Sequence: 1})
		Expect(events).To(HaveLen(1))
		Expect(events[0].Chunks).To(Equal([]protocol.Chunk{{Hash: "ab", Parent: "aa", Tokens: 50}}))
	})

	It("rejects a chunk whose hash differs from the one in the path", func() {
		Expect(call("PUT", protocol.PathChunks+"ac", encoded()).Code).To(Equal(http.StatusBadRequest))
		Expect(call("GET", protocol.PathChunks+"ac", "").Code).To(Equal(http.StatusNotFound))
	})

	It("is empty in a new incarnation after a restart, and notifies readers with a reset event", func() {
		Expect(call("PUT", protocol.PathChunks+"ab", encoded()).Code).To(Equal(http.StatusNoContent))
		_, changed := server.EventsAfter(standin.Position{})
		Expect(call("POST", "/lab/empty", "").Code).To(Equal(http.StatusNoContent))
		Expect(changed).To(BeClosed())
		events, _ := server.EventsAfter(standin.Position{Known: true, Incarnation: 4, Sequence: 2})
		Expect(events).To(HaveLen(1))
		Expect(events[0].Kind).To(Equal(protocol.EventReset))
		Expect(events[0].Incarnation).To(Equal(uint64(5)))
		Expect(events[0].Chunks).To(BeEmpty())
		Expect(call("GET", protocol.PathChunks+"ab", "").Code).To(Equal(http.StatusNotFound))
	})
})
