package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/bench"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:     "bench",
		Usage:    "measure parts of the product",
		Commands: []*cli.Command{benchRoutingCommand(), benchProxyCommand()},
	}
}

func benchRoutingCommand() *cli.Command {
	return &cli.Command{
		Name:  "routing",
		Usage: "replay one trace over emulated replicas under each routing policy, in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the trace and of all faults", Value: 1},
			&cli.StringFlag{Name: "mix", Usage: "request mix: hivatal or lakeshore", Value: string(workload.Hivatal)},
			&cli.Float64Flag{Name: "rate", Usage: "model requests per second; 0 means the mix's own"},
			&cli.Float64Flag{Name: "prefill-load-scale", Usage: "weight of prefill in the cost; 0 means the bench's own"},
			&cli.DurationFlag{Name: "duration", Usage: "virtual time during which requests arrive", Value: 20 * time.Minute},
		},
		Action: runBenchRouting,
	}
}

// runBenchRouting prints a JSON line for each policy.
func runBenchRouting(_ context.Context, command *cli.Command) error {
	mix, err := workload.ByName(command.String("mix"))
	if err != nil {
		return err
	}
	settings := bench.DefaultSettings(mix, command.Uint64("seed"))
	settings.Rate = command.Float64("rate")
	if scale := command.Float64("prefill-load-scale"); scale > 0 {
		settings.Routing.PrefillLoadScale = scale
	}
	settings.Duration = command.Duration("duration")
	results, err := bench.Compare(settings)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(command.Root().Writer)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return err
		}
	}
	return nil
}
