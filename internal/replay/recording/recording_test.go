package recording_test

import (
	"bytes"
	"compress/gzip"
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

var start = time.Date(2026, time.March, 2, 8, 0, 0, 0, time.UTC)

const (
	headerLine = `{"format":"ridgeswitch-recording","version":1,"node":"front-1","started":"2026-03-02T08:00:00Z"}`
	goodLine   = `{"at_us":5,"host":"h","pool":"cases","outcome":"answered","total_us":1}`
)

// fullRecord has a value in every field.
func fullRecord() recording.Record {
	return recording.Record{
		AtUS: 1500, Tenant: "court", Host: "models.example", Pool: "cases", Model: "large",
		Chunks:       recording.Chunks([]prefixindex.Chunk{{ID: "case 17, secret", Tokens: 300}, {ID: "question", Tokens: 20}}),
		OutputTokens: 64, Repeatable: true, Streamed: true, DeadlineMS: 2000, Outcome: recording.Refused,
		Problem: "queue_full", Status: 429, Attempts: 2, ReusedTokens: 300, FirstUS: 1000, TotalUS: 9000,
	}
}

// written returns a recording that starts at a time.
func written(started time.Time, records ...recording.Record) []byte {
	var out bytes.Buffer
	writer, err := recording.NewWriter(&out, recording.NewHeader("front-1", started))
	Expect(err).NotTo(HaveOccurred())
	for _, record := range records {
		Expect(writer.Write(record)).To(Succeed())
	}
	return out.Bytes()
}

func read(lines ...string) (*recording.Day, error) {
	return recording.Read(strings.NewReader(strings.Join(lines, "\n")))
}

func pack(data []byte) []byte {
	var out bytes.Buffer
	packer := gzip.NewWriter(&out)
	_, err := packer.Write(data)
	Expect(err).NotTo(HaveOccurred())
	Expect(packer.Close()).To(Succeed())
	return out.Bytes()
}

var _ = Describe("A recording", func() {
	DescribeTable("reads back what was written", func(transform func([]byte) []byte) {
		day, err := recording.Read(bytes.NewReader(transform(written(start, fullRecord()))))
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Records).To(Equal([]recording.Record{fullRecord()}))
		Expect(day.Started).To(Equal(start))
		Expect(day.Faults.Total()).To(BeZero())
	},
		Entry("plain", func(data []byte) []byte { return data }),
		Entry("compressed", pack))

	It("names parts by digests: equal ones equally, and none by its content", func() {
		data := string(written(start, fullRecord()))
		Expect(data).NotTo(ContainSubstring("secret"))
		Expect(recording.ChunkID("a")).To(Equal(recording.ChunkID("a")))
		Expect(recording.ChunkID("a")).NotTo(Equal(recording.ChunkID("b")))
	})

	It("puts several recordings into one order of arrival", func() {
		late, early := fullRecord(), fullRecord()
		late.AtUS, early.AtUS = 1_000_000, 3_000_000
		data := append(written(start.Add(5*time.Second), late), written(start, early)...)
		day, err := recording.Read(bytes.NewReader(data))
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Started).To(Equal(start))
		Expect([]int64{day.Records[0].AtUS, day.Records[1].AtUS}).To(Equal([]int64{3_000_000, 6_000_000}))
	})

	It("counts dropped requests and skips blank lines", func() {
		day, err := read(headerLine, goodLine, "", `{"dropped":7}`, `{"dropped":2}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Dropped).To(Equal(int64(9)))
		Expect(day.Faults.Total()).To(BeZero())
	})

	DescribeTable("counts and names lines that cannot be used, and keeps the others", func(bad string, kind recording.FaultKind, message string) {
		day, err := read(headerLine, bad, goodLine)
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Records).To(HaveLen(1))
		Expect(day.Faults.Total()).To(Equal(1))
		Expect(day.Faults.First[0].Line).To(Equal(2))
		Expect(day.Faults.First[0].Kind).To(Equal(kind))
		Expect(day.Faults.First[0].Message).To(ContainSubstring(message))
	},
		Entry("torn", goodLine[:30], recording.FaultTorn, "unexpected end"),
		Entry("no JSON", "what?", recording.FaultInvalid, "invalid character"),
		Entry("an unknown field", strings.Replace(goodLine, "host", "hots", 1), recording.FaultInvalid, "hots"),
		Entry("no host", strings.Replace(goodLine, `"h"`, `""`, 1), recording.FaultInvalid, "host is missing"),
		Entry("no destination", strings.Replace(goodLine, `"pool":"cases",`, "", 1), recording.FaultInvalid, "exactly one of"),
		Entry("an unknown outcome", strings.Replace(goodLine, "answered", "perhaps", 1), recording.FaultInvalid, "perhaps"),
		Entry("a refusal without a reason", strings.Replace(goodLine, "answered", "refused", 1), recording.FaultInvalid, "problem is missing"),
		Entry("a negative time", strings.Replace(goodLine, ":5", ":-5", 1), recording.FaultInvalid, "negative"),
		Entry("a part that no header can hold", strings.Replace(goodLine, `"outcome"`, `"parts":[{"id":"a;b","tokens":1}],"outcome"`, 1), recording.FaultInvalid, "a;b"),
		Entry("a part without tokens", strings.Replace(goodLine, `"outcome"`, `"parts":[{"id":"a","tokens":0}],"outcome"`, 1), recording.FaultInvalid, "0 tokens"),
		Entry("too long", strings.Repeat("x", recording.MaxLineBytes+1), recording.FaultTooLong, "more than"))

	It("tells a torn last line", func() {
		day, err := read(headerLine, goodLine, goodLine[:12])
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Faults).To(HaveField("Torn", 1))
		Expect(day.Faults.First[0].Line).To(Equal(3))
	})

	It("skips what follows a header of an unknown version, up to the next known one", func() {
		later := strings.Replace(headerLine, `"version":1`, `"version":2,"shape":"new"`, 1)
		day, err := read(later, goodLine, headerLine, goodLine)
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Records).To(HaveLen(1))
		Expect(day.Faults.UnknownVersion).To(Equal(2))
		Expect(day.Faults.First[0].Message).To(ContainSubstring("version 2"))
	})

	It("keeps what precedes the cut of a compressed file", func() {
		packed := pack(written(start, fullRecord(), fullRecord()))
		day, err := recording.Read(bytes.NewReader(packed[:len(packed)-6]))
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Records).To(HaveLen(2))
		Expect(day.Faults.Torn).To(Equal(1))
	})

	It("counts all faults and names only the first ones", func() {
		lines := append([]string{headerLine, goodLine}, strings.Split(strings.Repeat("bad\n", 49)+"bad", "\n")...)
		day, err := read(lines...)
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Faults.Invalid).To(Equal(50))
		Expect(day.Faults.First).To(HaveLen(recording.MaxNamedFaults))
	})

	DescribeTable("is refused with a typed error when it holds no request", func(faults int, lines ...string) {
		_, err := read(lines...)
		var empty *recording.EmptyError
		Expect(errors.As(err, &empty)).To(BeTrue())
		Expect(empty.Faults.Total()).To(Equal(faults))
		Expect(err).To(MatchError(ContainSubstring("record_file")))
	},
		Entry("nothing", 0),
		Entry("only a header", 0, headerLine),
		Entry("no header", 1, goodLine),
		Entry("an unknown version alone", 2, strings.Replace(headerLine, `"version":1`, `"version":9`, 1), goodLine))
})
