package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/webservice"
)

func webServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "webservice",
		Usage: "run a stand-in back end of a web service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "address to listen on", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of all faults", Value: 1},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return webservice.New(command.String("address"), command.Uint64("seed")).Run(ctx)
		},
	}
}
