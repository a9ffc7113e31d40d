package exampleday_test

import (
	"bytes"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/bench"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/exampleday"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/player"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/report"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// committedDay is the example that the repository holds.
const committedDay = "../../../deploy/hivatal/example-day.jsonl.gz"

// options are those of a small day of the Hivatal deployment.
func options(seed uint64, requests int) exampleday.Options {
	data, err := os.ReadFile("../../../deploy/hivatal/configuration.json")
	Expect(err).NotTo(HaveOccurred())
	configuration, err := dynamic.Parse(data)
	Expect(err).NotTo(HaveOccurred())
	return exampleday.Options{
		Seed: seed, Configuration: configuration, Mix: workload.HivatalMix(),
		ModelRequests: requests, Length: 24 * time.Hour, Speed: 100,
	}
}

func written(chosen exampleday.Options) []byte {
	var out bytes.Buffer
	Expect(exampleday.Write(&out, chosen)).To(Succeed())
	return out.Bytes()
}

func read(data []byte) *recording.Day {
	day, err := recording.Read(bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	return day
}

// emulatedSeed is the seed of the emulated fleet.
const emulatedSeed = 1

// emulated replays a day and reports it.
func emulated(day *recording.Day, policy bench.PolicyName) *report.Report {
	selection, records, err := player.Selection{Speed: 100}.Of(day)
	Expect(err).NotTo(HaveOccurred())
	played, err := player.Emulate(records, selection, bench.DefaultSettings(workload.HivatalMix(), emulatedSeed), policy)
	Expect(err).NotTo(HaveOccurred())
	return report.Build(report.Run{UntilMS: selection.Until.Milliseconds()}, played.Samples)
}

var _ = Describe("A made-up day", func() {
	It("is the same for the same seed, and another for another", func() {
		Expect(written(options(3, 200))).To(Equal(written(options(3, 200))))
		Expect(written(options(3, 200))).NotTo(Equal(written(options(4, 200))))
	})

	It("has no faulty line, is in order and is busiest by day", func() {
		day := read(written(options(3, 400)))
		Expect(day.Faults.Total()).To(BeZero())
		byDay := lo.CountBy(day.Records, func(record recording.Record) bool {
			hour := time.Duration(record.AtUS) * time.Microsecond / time.Hour
			return hour >= 7 && hour < 17
		})
		Expect(float64(byDay)).To(BeNumerically(">", 0.7*float64(len(day.Records))))
		Expect(day.Records[len(day.Records)-1].AtUS).To(BeNumerically("<", (24 * time.Hour).Microseconds()))
	})

	It("is what the repository holds", func() {
		committed, err := recording.Load(committedDay)
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.Records).To(Equal(read(written(options(1, 3000))).Records))
	})
})

var _ = Describe("A replay on the emulator", func() {
	It("gives equal reports for equal seeds, and what the made-up day recorded", func() {
		day := read(written(options(1, 300)))
		first := emulated(day, bench.PolicyKV)
		Expect(emulated(day, bench.PolicyKV)).To(Equal(first))
		models := lo.Filter(day.Records, func(record recording.Record, _ int) bool { return record.Pool != "" })
		recorded := report.Build(report.Run{}, report.Recorded(models))
		Expect(report.Compare(recorded, first)).To(BeEmpty())
	})

	It("shows that random placing reuses less", func() {
		day := read(written(options(1, 600)))
		aware, random := emulated(day, bench.PolicyKV), emulated(day, bench.PolicyRandom)
		Expect(random.Models.Requests).To(Equal(aware.Models.Requests))
		Expect(random.Models.ReuseRatio).To(BeNumerically("<", 0.8*aware.Models.ReuseRatio))
	})

	It("refuses a policy that does not exist", func() {
		_, err := player.Emulate(read(written(options(1, 10))).Records, player.Selection{Speed: 1}, bench.DefaultSettings(workload.HivatalMix(), 1), "best")
		Expect(err).To(MatchError(ContainSubstring("best")))
	})
})
