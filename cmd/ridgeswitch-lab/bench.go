package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/bench"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:     "bench",
		Usage:    "measure parts of the product",
		Commands: []*cli.Command{benchRoutingCommand(), benchEngineCommand(), benchProxyCommand()},
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
			&cli.Uint64Flag{Name: "store-tokens", Usage: "capacity of a store beside the replicas; 0 means none"},
			&cli.DurationFlag{Name: "report-delay", Usage: "how late all events and load reports come; 0 means the bench's own"},
			&cli.Float64Flag{Name: "event-loss", Usage: "share of events that are lost; the bench's own when not given"},
			&cli.Float64Flag{Name: "report-loss", Usage: "share of load reports that are lost"},
			&cli.BoolFlag{Name: "ablation", Usage: "run kv alone, with one knob moved at a time"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds that the ablation averages over", Value: 3},
			&cli.BoolFlag{Name: "markdown", Usage: "print the ablation as a Markdown table"},
			&cli.DurationFlag{Name: "duration", Usage: "virtual time during which requests arrive", Value: 20 * time.Minute},
		},
		Action: runBenchRouting,
	}
}

// runBenchRouting prints one line of JSON for each policy, or with --ablation for each row of
// the ablation.
func runBenchRouting(_ context.Context, command *cli.Command) error {
	mix, err := workload.ByName(command.String("mix"))
	if err != nil {
		return err
	}
	settings := routingSettings(command, mix)
	if command.Bool("ablation") {
		return printAblation(command, settings)
	}
	results, err := bench.Compare(settings)
	if err != nil {
		return err
	}
	return printLines(command, results)
}

// routingSettings returns the default settings of the bench, overridden by the flags.
func routingSettings(command *cli.Command, mix workload.Mix) bench.Settings {
	settings := bench.DefaultSettings(mix, command.Uint64("seed"))
	settings.Rate = command.Float64("rate")
	if scale := command.Float64("prefill-load-scale"); scale > 0 {
		settings.Routing.PrefillLoadScale = scale
	}
	settings.Duration = command.Duration("duration")
	if delay := command.Duration("report-delay"); delay > 0 {
		settings.Feed.Delay = delay
		settings.Machine.ReportDelay = delay
	}
	if command.IsSet("event-loss") {
		settings.Feed.LossRatio = command.Float64("event-loss")
	}
	settings.ReportLossRatio = command.Float64("report-loss")
	settings.StoreTokens = command.Uint64("store-tokens")
	return settings
}

// printAblation runs the ablation, which changes one routing parameter at a time, and prints
// its rows. The traces are those of consecutive seeds that begin with --seed.
func printAblation(command *cli.Command, settings bench.Settings) error {
	seeds := lo.RangeFrom(command.Uint64("seed"), command.Int("seeds"))
	rows, err := bench.Ablate(settings, seeds, bench.Variations())
	if err != nil {
		return err
	}
	if command.Bool("markdown") {
		_, err := fmt.Fprint(command.Root().Writer, bench.AblationTable(rows))
		return err
	}
	return printLines(command, rows)
}

// printLines prints each value as one line of JSON.
func printLines[T any](command *cli.Command, values []T) error {
	encoder := json.NewEncoder(command.Root().Writer)
	for _, value := range values {
		if err := encoder.Encode(value); err != nil {
			return err
		}
	}
	return nil
}
