package dataplane_test

import (
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/recorder"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

// recorded runs requests on a recording node and returns the records that the node has written.
func recorded(file string, run func(*fixture), replicas ...string) []recording.Record {
	f := newRecordingFixture(file, replicas...)
	run(f)
	f.front.Close()
	f.server.Stop()
	loaded, err := recording.Load(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(loaded.Faults.Total()).To(BeZero())
	Expect(f.server.RecordStats()).To(Equal(recorder.Stats{Written: uint64(len(loaded.Records))}))
	return loaded.Records
}

var _ = Describe("A recording node", func() {
	var file string

	BeforeEach(func() { file = filepath.Join(GinkgoT().TempDir(), "day.jsonl") })

	It("records the request and its outcome", func() {
		var f *fixture
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set(replica.HeaderReusedTokens, "32")
			f.clock.Add(int64(7 * time.Millisecond))
			respondWith("ok")(writer, request)
		})
		records := recorded(file, func(started *fixture) {
			f = started
			f.clock.Store(int64(3 * time.Second))
			f.generate(header{"Output-Tokens", "8"}, header{"Repeatable", "true"}, header{"Deadline-Ms", "900"})
		}, backend.address())
		Expect(records).To(Equal([]recording.Record{{
			AtUS: (3 * time.Second).Microseconds(), Tenant: "court", Host: poolHost, Pool: "pool", Model: poolModel,
			Chunks:       []recording.Chunk{{ID: recording.ChunkID("case"), Tokens: 32}, {ID: recording.ChunkID("question"), Tokens: 16}},
			OutputTokens: 8, Repeatable: true, DeadlineMS: 900, Outcome: recording.Completed, Status: http.StatusOK,
			Attempts: 1, ReusedTokens: 32, FirstUS: 7000, TotalUS: 7000,
		}}))
	})

	It("records neither prompts nor keys nor chunk IDs", func() {
		backend := newReplica(respondWith("ok"))
		recorded(file, func(f *fixture) { f.generate() }, backend.address())
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for _, hidden := range []string{courtKey, digestText(courtKey), defaultBody, "case", "question"} {
			Expect(string(text)).NotTo(ContainSubstring(hidden))
		}
		status, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Mode().Perm()).To(Equal(os.FileMode(0o600)))
	})

	It("records refusals with their kind and attempts, and truncated responses", func() {
		refusal := newReplica(refusing())
		var got outcome
		records := recorded(file, func(f *fixture) { got = f.generate() }, refusal.address())
		Expect(got.problem.Kind).NotTo(BeEmpty())
		Expect(records[0]).To(And(HaveField("Outcome", recording.Refused), HaveField("Problem", string(got.problem.Kind)),
			HaveField("Status", got.status), HaveField("Attempts", 1)))

		truncated := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			streaming("a")(writer, request)
			panic(http.ErrAbortHandler)
		})
		records = recorded(filepath.Join(GinkgoT().TempDir(), "cut.jsonl"), func(f *fixture) {
			f.generate(header{"Accept", "text/event-stream"})
		}, truncated.address())
		Expect(records[0]).To(And(HaveField("Outcome", recording.Truncated), HaveField("Streamed", true)))
	})

	It("does not record requests that are routed to no destination", func() {
		backend := newReplica(respondWith("ok"))
		records := recorded(file, func(f *fixture) {
			f.send(http.MethodGet, "unknown.example", "/")
			f.send(http.MethodPost, poolHost, "/")
			f.generate(header{"Repeatable", "perhaps"})
			f.generate()
		}, backend.address())
		Expect(records).To(HaveLen(1))
	})

	It("appends to a recording whose last line is incomplete", func() {
		Expect(os.WriteFile(file, []byte(`{"format":"ridgeswitch-rec`), 0o600)).To(Succeed())
		f := newRecordingFixture(file, newReplica(respondWith("ok")).address())
		f.generate()
		f.front.Close()
		f.server.Stop()
		loaded, err := recording.Load(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Records).To(HaveLen(1))
		Expect(loaded.Faults.Torn).To(Equal(1))
	})

	It("does not start when the file cannot be written", func() {
		_, err := dataplane.New(dataplane.Options{
			Source: &source{}, Clock: clockAtZero, Address: "127.0.0.1:0",
			RecordFile: filepath.Join(file, "not-a-folder", "day.jsonl"),
		})
		Expect(err).To(MatchError(ContainSubstring("record_file")))
	})
})

func digestText(key string) string { return string(digest(key)) }
