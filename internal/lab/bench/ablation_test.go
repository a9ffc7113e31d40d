package bench_test

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/bench"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

var _ = Describe("Ablate", func() {
	ablate := func() []bench.AblationRow {
		settings := bench.DefaultSettings(workload.LakeshoreMix(), 1)
		settings.Duration = 2 * time.Minute
		settings.StoreTokens = 1_000_000
		rows, err := bench.Ablate(settings, []uint64{1, 2}, bench.Variations())
		Expect(err).NotTo(HaveOccurred())
		return rows
	}

	It("changes each knob alone, on the same traces every time", func() {
		rows := ablate()
		Expect(rows).To(HaveLen(1 + len(bench.Variations())))
		Expect(ablate()).To(Equal(rows))
		figures := func(knob, value string) bench.AblationRow {
			row, found := lo.Find(rows, func(row bench.AblationRow) bool { return row.Knob == knob && row.Value == value })
			Expect(found).To(BeTrue(), knob+" "+value)
			row.Knob, row.Value = "", ""
			return row
		}
		base := figures("none", "-")
		Expect(figures("prefill_load_scale", "16")).To(Equal(base))
		Expect(figures("temperature", "0")).To(Equal(base))
		Expect(figures("store_credit", "0.5")).To(Equal(base))
		Expect(figures("temperature", "0.5").TTFTOfBase).To(BeNumerically(">", 1.2))
		Expect(figures("pulls", "off").PulledTokens).To(BeZero())
		Expect(base.PulledTokens).To(BeNumerically(">", 0))
		Expect(figures("store", "none").ReusedTokenRatio).To(BeNumerically("<", base.ReusedTokenRatio))
	})

	It("prints a row of the table for each result", func() {
		rows := []bench.AblationRow{{Mix: "m", Knob: "k", Value: "v", TTFTMeanMS: 12, TTFTOfBase: 0.5, PulledTokens: 2e6}}
		lines := strings.Split(strings.TrimSpace(bench.AblationTable(rows)), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[2]).To(Equal("| m | k | v | 12 | 0.50 | 0 | 0.0 | 0.000 | 2.0 M | 0 |"))
	})
})

var _ = DescribeTable("DefaultSettings route as the pools of the deployment do", func(mix workload.Mix) {
	data, err := os.ReadFile(filepath.Join("../../../deploy", string(mix.Name), "configuration.json"))
	Expect(err).NotTo(HaveOccurred())
	configuration, err := dynamic.Parse(data)
	Expect(err).NotTo(HaveOccurred())
	Expect(configuration.Pools).NotTo(BeEmpty())
	for _, pool := range configuration.Pools {
		Expect(kvrouter.SettingsFrom(pool.Routing)).To(Equal(bench.DefaultSettings(mix, 1).Routing))
	}
},
	Entry("hivatal", workload.HivatalMix()),
	Entry("lakeshore", workload.LakeshoreMix()))
