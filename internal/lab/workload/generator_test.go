package workload_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

func stream(mix workload.Mix, seed uint64) []workload.Request {
	generator, err := workload.New(mix, workload.Options{Seed: seed, Duration: 5 * time.Minute})
	Expect(err).NotTo(HaveOccurred())
	var requests []workload.Request
	for {
		request, more := generator.Next()
		if !more {
			return requests
		}
		requests = append(requests, request)
	}
}

func ofKind(requests []workload.Request, kind workload.Kind) []workload.Request {
	return lo.Filter(requests, func(request workload.Request, _ int) bool { return request.Kind == kind })
}

// meanShared returns the mean length of prompts without their last chunk, the caller's own
// text.
func meanShared(requests []workload.Request) uint64 {
	return lo.MeanBy(requests, func(request workload.Request) uint64 {
		return request.PromptTokens() - uint64(request.Chunks[len(request.Chunks)-1].Tokens)
	})
}

var _ = Describe("Generator", func() {
	It("generates equal streams for equal seeds and different streams for different seeds", func() {
		Expect(stream(workload.HivatalMix(), 3)).To(Equal(stream(workload.HivatalMix(), 3)))
		Expect(stream(workload.HivatalMix(), 3)).NotTo(Equal(stream(workload.HivatalMix(), 4)))
	})

	DescribeTable("generates requests with unique IDs at the mix's rates, ordered by time", func(mix workload.Mix) {
		requests := stream(mix, 1)
		web := lo.CountBy(requests, func(request workload.Request) bool { return request.Web })
		Expect(float64(web) / 300).To(BeNumerically("~", mix.WebRate, 1.5))
		Expect(float64(len(requests)-web) / 300).To(BeNumerically("~", mix.ModelRate, 1.5))
		for position := 1; position < len(requests); position++ {
			Expect(requests[position].At).To(BeNumerically(">=", requests[position-1].At))
		}
		Expect(lo.UniqBy(requests, func(request workload.Request) string { return request.ID })).To(HaveLen(len(requests)))
	},
		Entry("Hivatal", workload.HivatalMix()),
		Entry("Lakeshore", workload.LakeshoreMix()))

	DescribeTable("has eight tenants whose fractions sum to 1", func(mix workload.Mix) {
		total := lo.SumBy(mix.Tenants, func(tenant workload.Tenant) float64 { return tenant.Fraction })
		Expect(total).To(BeNumerically("~", 1, 1e-9))
		Expect(mix.Tenants).To(HaveLen(8))
	},
		Entry("Hivatal", workload.HivatalMix()),
		Entry("Lakeshore", workload.LakeshoreMix()))

	It("has the longest shared prefixes in summaries, and more tagging requests than others", func() {
		requests := stream(workload.HivatalMix(), 1)
		tagging, summaries := ofKind(requests, workload.KindTagging), ofKind(requests, workload.KindCaseSummary)
		notices := ofKind(requests, workload.KindHearingNotice)
		Expect(len(tagging)).To(BeNumerically(">", len(summaries)+len(notices)))
		Expect(meanShared(summaries)).To(BeNumerically(">", 3*meanShared(notices)))
		Expect(meanShared(summaries)).To(BeNumerically(">", 3*meanShared(tagging)))
	})

	It("marks only streamed requests, and at least one, as not repeatable", func() {
		requests := stream(workload.HivatalMix(), 1)
		once := lo.Filter(requests, func(request workload.Request, _ int) bool { return !request.Repeatable })
		Expect(once).NotTo(BeEmpty())
		Expect(lo.EveryBy(once, func(request workload.Request) bool { return request.Streamed })).To(BeTrue())
	})

	It("ends each prompt with a unique chunk, after chunks that other prompts share", func() {
		summaries := ofKind(stream(workload.HivatalMix(), 1), workload.KindCaseSummary)
		lasts := lo.Map(summaries, func(request workload.Request, _ int) string { return request.Chunks[len(request.Chunks)-1].ID })
		firsts := lo.Map(summaries, func(request workload.Request, _ int) string { return request.Chunks[2].ID })
		Expect(lo.Uniq(lasts)).To(HaveLen(len(summaries)))
		Expect(len(lo.Uniq(firsts))).To(BeNumerically("<", len(summaries)*3/4))
	})

	It("returns an error if both rates are negative", func() {
		_, err := workload.New(workload.HivatalMix(), workload.Options{ModelRate: -1, WebRate: -1})
		Expect(err).To(HaveOccurred())
	})
})
