package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/enginebench"
)

func benchEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "compare routing policies on a model of batching engines, in virtual time, and print a Markdown table",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds to average over", Value: 3},
			&cli.DurationFlag{Name: "duration", Usage: "virtual time during which requests arrive", Value: 34 * time.Second},
			&cli.Float64SliceFlag{Name: "load", Usage: "load relative to that of a calm day", Value: []float64{1, 2, 3}},
			&cli.StringFlag{Name: "variants", Usage: "policies, knobs of the router, or its ablation", Value: "policies"},
			&cli.StringSliceFlag{Name: "fleet", Usage: "fleets to play; all of them when missing"},
			&cli.IntFlag{Name: "drawn", Usage: "number of drawn fleets to play in place of the others"},
			&cli.Uint64Flag{Name: "drawn-seed", Usage: "seed of the drawn fleets", Value: 1},
			&cli.IntFlag{Name: "jobs", Usage: "runs at a time", Value: 4},
		},
		Action: runBenchEngine,
	}
}

func runBenchEngine(_ context.Context, command *cli.Command) error {
	variants, err := variantsOf(command.String("variants"))
	if err != nil {
		return err
	}
	seeds := lo.RangeFrom(command.Uint64("seed"), command.Int("seeds"))
	profiles := enginebench.Profiles()
	if names := command.StringSlice("fleet"); len(names) > 0 {
		profiles = lo.Filter(profiles, func(profile enginebench.Profile, _ int) bool { return slices.Contains(names, profile.Name) })
	}
	if count := command.Int("drawn"); count > 0 {
		profiles = enginebench.DrawnProfiles(command.Uint64("drawn-seed"), count)
	}
	rows := enginebench.Compare(profiles, command.Float64Slice("load"), variants, seeds, command.Duration("duration"), command.Int("jobs"))
	_, err = fmt.Fprint(command.Root().Writer, enginebench.Table(rows))
	return err
}

// variantsOf returns the variants for a value of --variants.
func variantsOf(name string) ([]enginebench.Variant, error) {
	switch name {
	case "policies":
		return enginebench.Variants(), nil
	case "knobs":
		return enginebench.Knobs(), nil
	case "ablation":
		return enginebench.Ablation(), nil
	default:
		return nil, errors.Errorf("--variants is %q; use policies, knobs or ablation", name)
	}
}
