package recording_test

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// The golden recording was written by an earlier release and is never written again,
// but where there is none and writeGolden is set.
const (
	goldenRecording = "testdata/golden.jsonl"
	goldenDay       = "testdata/golden_day.json"
	writeGolden     = "RIDGESWITCH_WRITE_GOLDEN"
)

// goldenRecords have every outcome, and every field in one of them.
func goldenRecords() []recording.Record {
	chunks := recording.Chunks([]prefixindex.Chunk{{ID: "rules", Tokens: 300}, {ID: "question", Tokens: 20}})
	return []recording.Record{
		fullRecord(),
		{
			AtUS: 2000, Tenant: "court", Host: "models.example", Pool: "cases", Model: "large", Chunks: chunks,
			Outcome: recording.Completed, Status: 200, Attempts: 1, FirstUS: 700, TotalUS: 80_000,
		},
		{AtUS: 3000, Host: "calendar.example", WebService: "calendar", Outcome: recording.Truncated, Status: 200, Attempts: 1, TotalUS: 10},
		{AtUS: 4000, Host: "calendar.example", WebService: "calendar", Outcome: recording.Disconnected, TotalUS: 1},
	}
}

func writtenGolden() []byte {
	var out bytes.Buffer
	started := time.Date(2026, time.March, 2, 9, 0, 0, 0, time.FixedZone("east", 3600))
	writer, err := recording.NewWriter(&out, recording.NewHeader("front-1", started))
	Expect(err).NotTo(HaveOccurred())
	for _, record := range goldenRecords() {
		Expect(writer.Write(record)).To(Succeed())
	}
	Expect(writer.Drop(17)).To(Succeed())
	// A file that a crash left, with a line that is no record.
	out.WriteString("{\"at_us\":1}\n{\"at_us\":5000,\"host\":")
	return out.Bytes()
}

// dayDump names what was read by keys of its own.
type dayDump struct {
	Started time.Time          `json:"started"`
	Records []recording.Record `json:"records"`
	Dropped int64              `json:"dropped"`
	Faults  recording.Faults   `json:"faults"`
}

func dumpDay(day *recording.Day) []byte {
	data, err := json.MarshalIndent(dayDump{Started: day.Started, Records: day.Records, Dropped: day.Dropped, Faults: day.Faults}, "", "  ")
	Expect(err).NotTo(HaveOccurred())
	return append(data, '\n')
}

var _ = Describe("A recording of an earlier release", func() {
	It("is read to the same requests, and written to the last byte", func() {
		if _, err := os.Stat(goldenRecording); os.IsNotExist(err) && os.Getenv(writeGolden) != "" {
			Expect(os.WriteFile(goldenRecording, writtenGolden(), 0o600)).To(Succeed())
			day, err := recording.Load(goldenRecording)
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(goldenDay, dumpDay(day), 0o600)).To(Succeed())
		}
		golden, err := os.ReadFile(goldenRecording)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(writtenGolden())).To(Equal(string(golden)))
		day, err := recording.Load(goldenRecording)
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Records).To(Equal(goldenRecords()))
		dump, err := os.ReadFile(goldenDay)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(dumpDay(day))).To(Equal(string(dump)))
	})
})
