package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/sim"
)

// simGCPercent is the percentage by which the heap grows before a garbage collection. It is
// higher than Go's default of 100, for speed.
const simGCPercent = 400

// showBreaks is the value of --break with which the command lists all other values.
const showBreaks = "list"

func simCommand() *cli.Command {
	return &cli.Command{
		Name:  "sim",
		Usage: "run whole deployments in virtual time, break their surroundings, and check what must never happen",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Usage: "a seed, or a range such as 1-2000", Value: "1-200"},
			&cli.DurationFlag{Name: "virtual", Usage: "virtual time of each run", Value: sim.DefaultVirtual},
			&cli.IntFlag{Name: "jobs", Usage: "seeds that run at once", Value: runtime.NumCPU()},
			&cli.StringFlag{Name: "break", Usage: "mechanism to switch off; list names them"},
			&cli.BoolFlag{Name: "fail-open", Usage: "deployments that find themselves through seeds, and serve while cut off"},
			&cli.StringSliceFlag{Name: "faults", Usage: "kinds of faults to choose from; all if none is given"},
			&cli.BoolFlag{Name: "finish-first", Usage: "simulate replicas that finish their requests before they load weights, and a list that names incarnations and versions"},
			&cli.IntFlag{Name: "stop-after", Usage: "end after this many failing seeds; 0 runs all", Value: 0},
			&cli.BoolFlag{Name: "timeline", Usage: "print the timeline of the first failing seed, or of a single seed", Value: true},
		},
		Action: runSim,
	}
}

// runSim runs the campaign, and prints the timeline of the failing seed with the lowest number
// and, on the last line, a summary as JSON.
func runSim(_ context.Context, command *cli.Command) error {
	if command.String("break") == showBreaks {
		return printBreaks(command)
	}
	campaign, err := campaignOf(command)
	if err != nil {
		return err
	}
	// Each simulated deployment is small and exists only for a short time, so memory is
	// sufficient for fewer garbage collections.
	debug.SetGCPercent(simGCPercent)
	started := time.Now()
	summary := campaign.Run()
	summary.WallSeconds = time.Since(started).Seconds()
	slices.SortFunc(summary.Failures, func(a, b sim.Failure) int { return cmp.Compare(a.Seed, b.Seed) })
	if len(summary.Failures) > 0 && command.Bool("timeline") {
		printFailure(command, campaign, summary.Failures[0])
	}
	if err := json.NewEncoder(command.Root().Writer).Encode(summary); err != nil {
		return err
	}
	if summary.Violations > 0 {
		return errors.Errorf("%d violations in %d of %d seeds", summary.Violations, len(summary.Failures), summary.Seeds)
	}
	return nil
}

// campaignOf returns the campaign that the flags describe. It returns an error for a flag that
// is out of range or unknown.
func campaignOf(command *cli.Command) (sim.Campaign, error) {
	first, last, err := sim.ParseSeeds(command.String("seeds"))
	if err != nil {
		return sim.Campaign{}, err
	}
	mechanism, err := sim.ParseBreak(command.String("break"))
	if err != nil {
		return sim.Campaign{}, err
	}
	faults := command.StringSlice("faults")
	if err := sim.CheckFaults(faults); err != nil {
		return sim.Campaign{}, err
	}
	virtual := command.Duration("virtual")
	if virtual < sim.MinVirtual {
		return sim.Campaign{}, errors.Errorf("--virtual %v leaves no time for faults; use at least %v", virtual, sim.MinVirtual)
	}
	return sim.Campaign{
		First:       first,
		Last:        last,
		Virtual:     virtual,
		Break:       mechanism,
		FailOpen:    command.Bool("fail-open"),
		Faults:      faults,
		FinishFirst: command.Bool("finish-first"),
		Jobs:        command.Int("jobs"),
		StopAfter:   command.Int("stop-after"),
	}, nil
}

func printBreaks(command *cli.Command) error {
	for _, mechanism := range sim.Breaks() {
		if _, err := fmt.Fprintln(command.Root().Writer, mechanism); err != nil {
			return err
		}
	}
	return nil
}

// printFailure runs a failing seed again to record its timeline, and prints the timeline, the
// violations and the command line that repeats the run.
func printFailure(command *cli.Command, campaign sim.Campaign, failure sim.Failure) {
	writer := command.Root().Writer
	settings := campaign.Settings(failure.Seed)
	settings.Timeline = true
	result := sim.RunSafely(settings)
	_, _ = fmt.Fprintf(writer, "seed %d\n%s\n", failure.Seed, result.Timeline)
	for _, violation := range failure.Violations {
		_, _ = fmt.Fprintf(writer, "%10.3f %s: %s\n", violation.At.Seconds(), violation.Invariant, violation.Detail)
	}
	_, _ = fmt.Fprintf(writer, "repeat with: ridgeswitch-lab sim --seeds %d --virtual %v", failure.Seed, campaign.Virtual)
	if campaign.FailOpen {
		_, _ = fmt.Fprint(writer, " --fail-open")
	}
	if campaign.FinishFirst {
		_, _ = fmt.Fprint(writer, " --finish-first")
	}
	if campaign.Break != sim.BreakNone {
		_, _ = fmt.Fprintf(writer, " --break %s", campaign.Break)
	}
	for _, fault := range campaign.Faults {
		_, _ = fmt.Fprintf(writer, " --faults %s", fault)
	}
	_, _ = fmt.Fprintln(writer)
}
