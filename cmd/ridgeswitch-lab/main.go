// Command ridgeswitch-lab tests and measures ridgeswitch. It runs stand-ins for the systems
// that ridgeswitch communicates with, benches, simulations, and whole fleets on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/logx"
)

// commands contains the constructors of the subcommands.
var commands = []func() *cli.Command{
	replicaCommand,
	storeCommand,
	webServiceCommand,
	platformCommand,
	benchCommand,
	simCommand,
	demoCommand,
	experimentCommand,
	hollowCommand,
}

func main() {
	// go-zero logs to the standard output, which is reserved for results.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newApplication().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ridgeswitch-lab:", err)
		os.Exit(1)
	}
}

func newApplication() *cli.Command {
	application := &cli.Command{
		Name:  "ridgeswitch-lab",
		Usage: "stand-ins, benches and fleets that try ridgeswitch out",
	}
	for _, build := range commands {
		application.Commands = append(application.Commands, build())
	}
	return application
}
