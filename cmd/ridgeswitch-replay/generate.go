package main

import (
	"compress/gzip"
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/exampleday"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/player"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

const (
	// exampleRequests is the default number of model requests, which keeps the recording
	// small.
	exampleRequests = 3000
	// exampleLength is the default length of the generated day.
	exampleLength = 24 * time.Hour
)

func generateCommand() *cli.Command {
	return &cli.Command{
		Name:  "generate",
		Usage: "write the recording of a made-up day",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "`FILE` to write; compressed if its name ends in .gz", Required: true},
			&cli.StringFlag{Name: "configuration", Usage: "`FILE` with the deployment's configuration", Value: "deploy/hivatal/configuration.json"},
			&cli.StringFlag{Name: "mix", Usage: "request mix: hivatal or lakeshore", Value: string(workload.Hivatal)},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the requests", Value: 1},
			&cli.IntFlag{Name: "requests", Usage: "about how many requests go to the model", Value: exampleRequests},
			&cli.DurationFlag{Name: "length", Usage: "length of the day", Value: exampleLength},
		},
		Action: generate,
	}
}

func generate(_ context.Context, command *cli.Command) error {
	mix, err := workload.ByName(command.String("mix"))
	if err != nil {
		return err
	}
	data, err := os.ReadFile(command.String("configuration"))
	if err != nil {
		return errors.Wrap(err, "read the configuration")
	}
	configuration, err := dynamic.Parse(data)
	if err != nil {
		return err
	}
	options := exampleday.Options{
		Seed:          command.Uint64("seed"),
		Configuration: configuration,
		Mix:           mix,
		ModelRequests: command.Int("requests"),
		Length:        command.Duration("length"),
		Speed:         player.MaxSpeed,
	}
	path := command.String("out")
	return writeFile(path, func(target io.Writer) error {
		if !strings.HasSuffix(path, ".gz") {
			return exampleday.Write(target, options)
		}
		packed, err := gzip.NewWriterLevel(target, gzip.BestCompression)
		if err != nil {
			return errors.WithStack(err)
		}
		if err := exampleday.Write(packed, options); err != nil {
			return err
		}
		return errors.Wrap(packed.Close(), "finish the compressed file")
	})
}
