// Command ridgeswitch is the only binary of a deployment. It runs a node ("node"), marks a
// node's data folder as that of a founding member ("init"), and contains the operators'
// commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/operatorcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:     "ridgeswitch",
		Usage:    "one front for language-model replicas",
		Commands: append([]*cli.Command{nodeCommand(), initCommand()}, operatorcli.Commands()...),
		// By default the library ends the process itself; exitCode chooses the exit status.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "ridgeswitch:", err)
	stop()
	os.Exit(exitCode(err))
}

// exitCode returns the exit status for an error: the status of an *operatorcli.ExitError, or
// operatorcli.ExitUsage if the command line library rejected the command line. The library's
// own statuses are not used, since operators would take them for outcomes of an order. The
// status of any other error, such as that of a node that can't start, is
// operatorcli.ExitRefused.
func exitCode(err error) int {
	var chosen *operatorcli.ExitError
	if errors.As(err, &chosen) {
		return chosen.ExitCode()
	}
	var misuse cli.ExitCoder
	if errors.As(err, &misuse) {
		return operatorcli.ExitUsage
	}
	return operatorcli.ExitRefused
}
