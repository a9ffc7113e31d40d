package main

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/proxybench"
)

func benchProxyCommand() *cli.Command {
	defaults := proxybench.DefaultSettings()
	return &cli.Command{
		Name:  "proxy",
		Usage: "compare a node's data plane with a bare forwarder, in turns within one process",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "replicas", Usage: "replicas behind each proxy", Value: defaults.Replicas},
			&cli.IntFlag{Name: "connections", Usage: "connections of callers", Value: defaults.Connections},
			&cli.IntFlag{Name: "rounds", Usage: "how often all targets are measured", Value: defaults.Rounds},
			&cli.IntFlag{Name: "body-bytes", Usage: "size of each body", Value: defaults.BodyBytes},
			&cli.DurationFlag{Name: "saturation-time", Usage: "time at saturation in a round", Value: defaults.SaturationTime},
			&cli.DurationFlag{Name: "half-load-time", Usage: "time at half load in a round", Value: defaults.HalfLoadTime},
		},
		Action: runBenchProxy,
	}
}

// runBenchProxy prints one line of JSON for each target, and one that compares the targets.
func runBenchProxy(ctx context.Context, command *cli.Command) error {
	report, err := proxybench.Measure(ctx, proxybench.Settings{
		Replicas:       command.Int("replicas"),
		Connections:    command.Int("connections"),
		Rounds:         command.Int("rounds"),
		BodyBytes:      command.Int("body-bytes"),
		SaturationTime: command.Duration("saturation-time"),
		HalfLoadTime:   command.Duration("half-load-time"),
	})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(command.Root().Writer)
	for _, result := range report.Targets {
		if err := encoder.Encode(result); err != nil {
			return err
		}
	}
	return encoder.Encode(report.Summary)
}
