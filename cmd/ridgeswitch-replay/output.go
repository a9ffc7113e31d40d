package main

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/report"
)

// reportFlags returns the flags for the files to which a report is written.
func reportFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "report", Usage: "`FILE` for the report as JSON"},
		&cli.StringFlag{Name: "html", Usage: "`FILE` for the report as one page with plots"},
	}
}

// writeReport writes the report to the files that the flags name, and prints it as text.
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

// writeFile creates a file and writes it with a function. It also returns an error of closing
// the file, since written data may be lost then.
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
