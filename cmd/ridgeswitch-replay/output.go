package main

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/report"
)

// reportFlags say where a report goes.
func reportFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "report", Usage: "`FILE` for the report as JSON"},
		&cli.StringFlag{Name: "html", Usage: "`FILE` for the report as one page with plots"},
	}
}

// writeReport writes the files that are asked for, and prints the report.
func writeReport(command *cli.Command, made *report.Report) error {
	if path := command.String("report"); path != "" {
		if err := writeFile(path, made.Write); err != nil {
			return err
		}
	}
	if path := command.String("html"); path != "" {
		if err := writeFile(path, made.WriteHTML); err != nil {
			return err
		}
	}
	return made.WriteText(command.Root().Writer)
}

// writeFile writes a file, and reports a failure to close it.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "make the file")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "close the file")
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "print the figures in which two reports differ",
		ArgsUsage: "A.json B.json",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 2 {
				return errors.New("give the files of two reports")
			}
			a, err := report.Load(command.Args().Get(0))
			if err != nil {
				return err
			}
			b, err := report.Load(command.Args().Get(1))
			if err != nil {
				return err
			}
			return report.WriteComparison(command.Root().Writer, a, b)
		},
	}
}
