// Command ridgeswitch-replay replays recorded days against nodes on this machine or against
// emulated replicas, summarizes recordings, compares reports, and generates recordings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newApplication().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ridgeswitch-replay:", err)
		os.Exit(1)
	}
}

func newApplication() *cli.Command {
	return &cli.Command{
		Name:     "ridgeswitch-replay",
		Usage:    "replay recorded days and compare what came of them",
		Commands: []*cli.Command{runCommand(), summarizeCommand(), compareCommand(), generateCommand()},
	}
}
