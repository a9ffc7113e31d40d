package enginebench

import (
	"fmt"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	for _, load := range []float64{1, 2, 2.6, 3} {
		for _, profile := range Profiles() {
			r := Run(Settings{Profile: profile, Policy: Router, Seed: 1, Load: load, Duration: 34 * time.Second, ShareEvery: defaultShareEvery, EventLoss: 0.005})
			fmt.Printf("%s %.1f credit %.3f predicted %.0f pulled %.0f actual %.0f reread %.0f | missed own %.0f missed pull %.0f\n", profile.Name, load, r.Credit, dbg.predicted/dbg.n, dbg.pulled/dbg.n, r.ReadTokens, r.RereadTokens, dbg.lostOwn/dbg.n, dbg.lostPull/dbg.n)
			dbg = debugSums{}
		}
	}
}
