package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/bench"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/player"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/report"
)

// keysVariable is the environment variable for keys. Unlike the values of --key, its value is
// not shown in the list of processes.
const keysVariable = "RIDGESWITCH_REPLAY_KEYS"

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "replay a recording against running nodes or the emulator",
		Flags: slices.Concat(recordFlags(), reportFlags(), []cli.Flag{
			&cli.Float64Flag{Name: "speed", Usage: "how many times faster than recorded, 1 to 100", Value: 1},
			&cli.StringSliceFlag{Name: "node", Usage: "traffic `ADDRESS` of a node in 127.0.0.0/8; repeat for more"},
			&cli.StringSliceFlag{Name: "key", Usage: "`TENANT=SECRET`; repeat for more", Sources: cli.EnvVars(keysVariable)},
			&cli.IntFlag{Name: "max-in-flight", Usage: "requests that run at once", Value: player.DefaultMaxInFlight},
			&cli.BoolFlag{Name: "emulator", Usage: "replay on emulated replicas in virtual time"},
			&cli.StringFlag{Name: "fleet", Usage: "emulated fleet: hivatal or lakeshore", Value: string(workload.Hivatal)},
			&cli.IntFlag{Name: "replicas", Usage: "emulated replicas; 0 means the fleet's own"},
			&cli.StringFlag{Name: "policy", Usage: "how the emulated fleet is routed: kv, least-loaded, round-robin or random", Value: string(bench.PolicyKV)},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the emulated fleet's faults", Value: 1},
		}),
		Action: run,
	}
}

// recordFlags returns the flags that select a recording and a part of it.
func recordFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "records", Usage: "`FILE` with the recording, plain or gzip", Required: true},
		&cli.DurationFlag{Name: "from", Usage: "beginning of the part to use, from the start of the day"},
		&cli.DurationFlag{Name: "until", Usage: "its end; the whole day when not given"},
	}
}

// run replays a recording and writes the report. If the replay is interrupted, the report
// covers the requests that were sent, and run returns an error.
func run(ctx context.Context, command *cli.Command) error {
	if err := checkRunFlags(command); err != nil {
		return err
	}
	day, err := recording.Load(command.String("records"))
	if err != nil {
		return err
	}
	selection, records, err := selectionOf(command, command.Float64("speed")).Of(day)
	if err != nil {
		return err
	}
	source, play, target := report.SourceFleet, playOnFleet, fmt.Sprintf("%d nodes", len(command.StringSlice("node")))
	if command.Bool("emulator") {
		source, play, target = report.SourceEmulator, playOnEmulator, emulatedTarget(command)
	}
	played, playErr := play(ctx, command, selection, records)
	if playErr != nil && len(played.Samples) == 0 {
		return playErr
	}
	description := describeRun(command, source, day, selection)
	description.Target = target
	description.Skipped = played.Skipped
	description.MaxLagMS = float64(played.MaxLag.Microseconds()) / 1000
	if err := writeReport(command, report.Build(description, played.Samples)); err != nil {
		return err
	}
	return errors.Wrap(playErr, "the replay was interrupted; the report holds what was sent")
}

func checkRunFlags(command *cli.Command) error {
	if command.Bool("emulator") == (len(command.StringSlice("node")) > 0) {
		return errors.New("give either --node, once or more, or --emulator")
	}
	if command.Int("max-in-flight") <= 0 {
		return errors.New("--max-in-flight must be positive")
	}
	return nil
}

// selectionOf returns the selection of the part of the day between --from and --until, at a
// speed.
func selectionOf(command *cli.Command, speed float64) player.Selection {
	return player.Selection{Speed: speed, From: command.Duration("from"), Until: command.Duration("until")}
}

// describeRun returns the description of a replay for its report, without the target, the
// skipped records and the lag.
func describeRun(command *cli.Command, source report.Source, day *recording.Day, selection player.Selection) report.Run {
	return report.Run{
		Source:         source,
		Records:        command.String("records"),
		Started:        day.Started,
		Speed:          selection.Speed,
		FromMS:         selection.From.Milliseconds(),
		UntilMS:        selection.Until.Milliseconds(),
		DroppedByNodes: day.Dropped,
		Faults:         day.Faults,
	}
}

func playOnFleet(ctx context.Context, command *cli.Command, selection player.Selection, records []recording.Record) (player.Played, error) {
	keys, err := keysOf(command.StringSlice("key"))
	if err != nil {
		return player.Played{}, err
	}
	maxInFlight := command.Int("max-in-flight")
	fleet, err := player.NewFleet(command.StringSlice("node"), keys, maxInFlight)
	if err != nil {
		return player.Played{}, err
	}
	defer fleet.Close()
	return player.Play(ctx, records, fleet, player.Options{
		Selection:   selection,
		MaxInFlight: maxInFlight,
		Clock:       player.NewWallClock(),
	})
}

// keysOf parses keys of the form TENANT=SECRET. Errors contain the position of a key in place
// of its text, which may be a secret.
func keysOf(pairs []string) ([]player.Key, error) {
	var keys []player.Key
	for position, text := range pairs {
		tenant, secret, found := strings.Cut(text, "=")
		if !found || tenant == "" || secret == "" {
			return nil, errors.Errorf("key %d is not of the form TENANT=SECRET", position+1)
		}
		keys = append(keys, player.Key{Tenant: tenant, Secret: secret})
	}
	return keys, nil
}

func playOnEmulator(_ context.Context, command *cli.Command, selection player.Selection, records []recording.Record) (player.Played, error) {
	mix, err := workload.ByName(command.String("fleet"))
	if err != nil {
		return player.Played{}, err
	}
	settings := bench.DefaultSettings(mix, command.Uint64("seed"))
	settings.Replicas = lo.CoalesceOrEmpty(command.Int("replicas"), settings.Replicas)
	return player.Emulate(records, selection, settings, bench.PolicyName(command.String("policy")))
}

// emulatedTarget returns the target of a replay on the emulator: the settings of the emulated
// fleet.
func emulatedTarget(command *cli.Command) string {
	replicas := ""
	if count := command.Int("replicas"); count > 0 {
		replicas = fmt.Sprintf(", %d replicas", count)
	}
	return fmt.Sprintf("%s%s, policy %s, seed %d", command.String("fleet"), replicas, command.String("policy"), command.Uint64("seed"))
}

// summarizeCommand returns the command "summarize", which reports the outcomes in a recording
// without replaying it.
func summarizeCommand() *cli.Command {
	return &cli.Command{
		Name:  "summarize",
		Usage: "report what a recording itself tells, without replaying it",
		Flags: slices.Concat(recordFlags(), reportFlags()),
		Action: func(_ context.Context, command *cli.Command) error {
			day, err := recording.Load(command.String("records"))
			if err != nil {
				return err
			}
			selection, records, err := selectionOf(command, player.MinSpeed).Of(day)
			if err != nil {
				return err
			}
			description := describeRun(command, report.SourceRecorded, day, selection)
			description.Target = "as it was"
			return writeReport(command, report.Build(description, report.Recorded(records)))
		},
	}
}
