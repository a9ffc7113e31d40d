package bench

import (
	"fmt"
	"testing"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

func TestTrial(t *testing.T) {
	for _, mix := range []workload.Mix{workload.HivatalMix(), workload.LakeshoreMix()} {
		settings := DefaultSettings(mix, 1)
		if mix.Name == workload.Lakeshore { settings.Rate = 4 }
		trace, _ := settings.trace()
		for _, links := range []bool{false, true} {
			for _, scale := range []float64{1, 2, 4, 8} {
				s, _ := newSimulation(PolicyKV, settings)
				p := s.policy.(*prefixAware)
				p.scale = scale
				if links {
					for a := range 4 { for b := range 4 {
						za, zb := fmt.Sprintf("zone-%d", a+1), fmt.Sprintf("zone-%d", b+1)
						p.router.LinkMeasured(za, zb, settings.Links.Between(za, zb).BytesPerSecond)
					}}
				}
				s.run(trace)
				r := s.result(PolicyKV)
				fmt.Printf("%s links=%v scale=%v ttft=%.0f p95=%.0f prefill=%d pulled=%d reuse=%.3f\n", mix.Name, links, scale, r.TTFTMeanMS, r.TTFTP95MS, r.PrefillTokens, r.PulledTokens, r.ReusedTokenRatio)
			}
		}
		s, _ := newSimulation(PolicyLeastLoaded, settings)
		s.run(trace)
		fmt.Printf("%+v\n", s.result(PolicyLeastLoaded))
	}
	_ = kvrouter.DefaultSettings
}
