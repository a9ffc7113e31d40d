package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in of the platform's list of replicas",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "address to listen on", Required: true},
			&cli.StringFlag{Name: "services", Usage: "JSON file with the initial list", Required: true},
			&cli.DurationFlag{Name: "lag", Usage: "time until a change shows in the list", Value: time.Second},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	data, err := os.ReadFile(command.String("services"))
	if err != nil {
		return errors.Wrap(err, "read the initial list of services")
	}
	initial, err := platform.ParseEndpoints(data)
	if err != nil {
		return err
	}
	return platform.New(command.String("address"), initial, command.Duration("lag")).Run(ctx)
}
