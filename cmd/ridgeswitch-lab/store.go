package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/store"
)

// storeCapacityTokens is the default capacity of a store. It corresponds to 2 TB of cached
// chunks.
const storeCapacityTokens = 6_400_000

func storeCommand() *cli.Command {
	flags := standInFlags(
		&cli.StringFlag{Name: "address", Usage: "address to listen on", Required: true},
		&cli.StringFlag{Name: "zone", Usage: "zone of the store", Required: true},
		&cli.Uint64Flag{Name: "capacity-tokens", Usage: "size of the store, in tokens", Value: storeCapacityTokens},
		&cli.DurationFlag{Name: "report-every", Usage: "real time between reports in the event stream", Value: 250 * time.Millisecond},
	)
	return &cli.Command{
		Name:   "store",
		Usage:  "run a stand-in store of kept parts",
		Flags:  flags,
		Action: runStore,
	}
}

func runStore(ctx context.Context, command *cli.Command) error {
	server, err := store.New(store.Settings{
		Address:        command.String("address"),
		Zone:           command.String("zone"),
		Incarnation:    uint64(time.Now().UnixMilli()),
		CapacityTokens: command.Uint64("capacity-tokens"),
		TimeScale:      command.Float64("time-scale"),
		Seed:           command.Uint64("seed"),
		Links:          linkModel(command),
		Feed:           feedPlan(command),
		ReportEvery:    command.Duration("report-every"),
	})
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
