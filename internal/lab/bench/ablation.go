package bench

import (
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

// AblationRow is the result of kv with one knob changed, over all seeds.
type AblationRow struct {
	Mix   string `json:"mix"`
	Knob  string `json:"knob"`
	Value string `json:"value"`
	Seeds int    `json:"seeds"`

	// The figures are means over the seeds of those of Result.
	TTFTMeanMS        float64 `json:"ttft_ms_mean"`
	TTFTP95MS         float64 `json:"ttft_ms_p95"`
	OutputTokenMeanMS float64 `json:"output_token_ms_mean"`
	ReusedTokenRatio  float64 `json:"reused_token_ratio"`
	PulledTokens      float64 `json:"pulled_tokens"`
	Deferred          float64 `json:"deferred"`
	Refused           float64 `json:"refused"`
	// TTFTOfBase is the mean TTFT as a fraction of that with no knob changed.
	TTFTOfBase float64 `json:"ttft_of_base"`
}

// Ablate replays the traces of the seeds under kv, with one knob changed at a time. The
// first row has none changed. The seed of the settings is not used.
func Ablate(settings Settings, seeds []uint64, variations []Variation) ([]AblationRow, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	traces, err := tracesOf(settings, seeds)
	if err != nil {
		return nil, err
	}
	unmoved := Variation{Knob: "none", Value: "-", apply: func(*Settings) {}}
	var rows []AblationRow
	for _, variation := range append([]Variation{unmoved}, variations...) {
		row, err := ablateOne(settings, seeds, traces, variation)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	for position := range rows {
		rows[position].TTFTOfBase = rows[position].TTFTMeanMS / rows[0].TTFTMeanMS
	}
	return rows, nil
}

func tracesOf(settings Settings, seeds []uint64) ([][]workload.Request, error) {
	traces := make([][]workload.Request, len(seeds))
	for position, seed := range seeds {
		settings.Seed = seed
		trace, err := settings.trace()
		if err != nil {
			return nil, err
		}
		traces[position] = trace
	}
	return traces, nil
}

func ablateOne(settings Settings, seeds []uint64, traces [][]workload.Request, variation Variation) (AblationRow, error) {
	variation.apply(&settings)
	var results []Result
	for position, seed := range seeds {
		settings.Seed = seed
		result, err := runPolicy(settings, PolicyKV, traces[position])
		if err != nil {
			return AblationRow{}, err
		}
		results = append(results, result)
	}
	mean := func(of func(Result) float64) float64 {
		return lo.Mean(lo.Map(results, func(result Result, _ int) float64 { return of(result) }))
	}
	return AblationRow{
		Mix:               string(settings.Mix.Name),
		Knob:              variation.Knob,
		Value:             variation.Value,
		Seeds:             len(seeds),
		TTFTMeanMS:        mean(func(r Result) float64 { return r.TTFTMeanMS }),
		TTFTP95MS:         mean(func(r Result) float64 { return r.TTFTP95MS }),
		OutputTokenMeanMS: mean(func(r Result) float64 { return r.OutputTokenMeanMS }),
		ReusedTokenRatio:  mean(func(r Result) float64 { return r.ReusedTokenRatio }),
		PulledTokens:      mean(func(r Result) float64 { return float64(r.PulledTokens) }),
		Deferred:          mean(func(r Result) float64 { return float64(r.Deferred) }),
		Refused:           mean(func(r Result) float64 { return float64(r.Refused) }),
	}, nil
}

// Variation changes one knob.
type Variation struct {
	Knob  string
	Value string
	apply func(*Settings)
}

const (
	// noCredit stands for 0 where 0 means the default.
	noCredit = 1e-9
	// neverFaster is a PullAdvantage that makes every pull slower than prefill.
	neverFaster = 1e9
)

// Variations returns the knobs of the router, each with the values that the
// ablation gives it.
func Variations() []Variation {
	var all []Variation
	all = append(all, vary("prefill_load_scale", func(s *Settings, v float64) { s.Routing.PrefillLoadScale = v }, 1, 2, 4, 8, 16, 32)...)
	all = append(all, vary("request_weight", func(s *Settings, v float64) { s.Routing.RequestWeight = v }, 16, 64, 256)...)
	all = append(all, vary("peer_credit", func(s *Settings, v float64) { s.Routing.PeerCredit = v }, 0, 0.5, 0.75, 1)...)
	all = append(all, vary("store_credit", func(s *Settings, v float64) { s.Routing.StoreCredit = v }, 0, 0.5, 0.75, 1)...)
	all = append(all, vary("busy_threshold_blocks", func(s *Settings, v float64) { s.Routing.BusyThresholdBlocks = v }, 4096, 8192, 16384, 32768, 65536)...)
	all = append(all, vary("temperature", func(s *Settings, v float64) { s.Routing.Temperature = v }, 0, 0.1, 0.5)...)
	all = append(all, vary("guess credit", func(s *Settings, v float64) { s.Router.UncertainCredit = max(v, noCredit) }, 0, 0.5, 0.75, 1)...)
	return append(all,
		Variation{Knob: "pulls", Value: "off", apply: func(s *Settings) { s.Router.PullAdvantage = neverFaster }},
		Variation{Knob: "store", Value: "none", apply: func(s *Settings) { s.StoreTokens = 0 }},
		Variation{Knob: "prediction until reported", Value: "off", apply: func(s *Settings) { s.Router.PredictionLag = -time.Second }},
	)
}

// vary returns a variation for each value of a knob.
func vary(knob string, set func(*Settings, float64), values ...float64) []Variation {
	return lo.Map(values, func(value float64, _ int) Variation {
		return Variation{
			Knob:  knob,
			Value: strconv.FormatFloat(value, 'g', -1, 64),
			apply: func(settings *Settings) { set(settings, value) },
		}
	})
}
