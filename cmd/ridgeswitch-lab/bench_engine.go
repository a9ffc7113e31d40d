package main

import (
	"context"
	"fmt"
	"slices"
	"time"

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
			&cli.StringFlag{Name: "variants", Usage: "policies, or knobs of the router", Value: "policies"},
			&cli.StringSliceFlag{Name: "fleet", Usage: "fleets to play; all of them when missing"},
			&cli.IntFlag{Name: "jobs", Usage: "runs at a time", Value: 4},
		},
		Action: runBenchEngine,
	}
}

func runBenchEngine(_ context.Context, command *cli.Command) error {
	variants := enginebench.Variants()
	if command.String("variants") == "knobs" {
		variants = enginebench.Knobs()
	}
	seeds := lo.RangeFrom(command.Uint64("seed"), command.Int("seeds"))
	profiles := enginebench.Profiles()
	if wanted := command.StringSlice("fleet"); len(wanted) > 0 {
		profiles = lo.Filter(profiles, func(profile enginebench.Profile, _ int) bool { return slices.Contains(wanted, profile.Name) })
	}
	rows := enginebench.Compare(profiles, command.Float64Slice("load"), variants, seeds, command.Duration("duration"), command.Int("jobs"))
	_, err := fmt.Fprint(command.Root().Writer, enginebench.Table(rows))
	return err
}
