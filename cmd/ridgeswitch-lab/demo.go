package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
)

// Bounds of a demonstration.
const (
	// buildTimeout bounds the build of the node's binary, before the run.
	buildTimeout = 5 * time.Minute
	// runMargin is how long the start, the settling and the checks may take
	// beside the load. What is left of a minute is for the collection and the end.
	runMargin = 44 * time.Second
	// demoTimeScale is how many times faster than real machines replicas compute,
	// so that ten seconds hold enough requests for the rules to be tried.
	demoTimeScale = 16
	// demoModelRate is the requests to the model per second.
	demoModelRate = 64
)

// nodePackage is what the node's binary is built from.
const nodePackage = "./cmd/ridgeswitch"

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on this machine under load, change and faults, and check it",
		Flags: append([]cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "length of the load", Value: 10 * time.Second},
		}, fleetFlags(demoModelRate)...),
		Action: runDemo,
	}
}

// fleetFlags are the flags of every command that runs a whole deployment.
func fleetFlags(modelRate float64) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Usage: "name of a folder below --deploy-folder", Value: "hivatal"},
		&cli.StringFlag{Name: "deploy-folder", Usage: "folder of the deployments", Value: "deploy"},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the load and of the faults", Value: 1},
		&cli.StringFlag{Name: "binary", Usage: "binary of ridgeswitch; built when not given"},
		&cli.Float64Flag{Name: "rate", Usage: "requests to the model per second", Value: modelRate},
		&cli.Float64Flag{Name: "time-scale", Usage: "how many times faster than real machines replicas compute", Value: demoTimeScale},
		&cli.StringFlag{Name: "folder", Usage: "folder for settings, data and logs, kept after the run; a temporary one when not given"},
	}
}

// runDemo runs a demonstration and prints its summary as the last line.
func runDemo(ctx context.Context, command *cli.Command) error {
	folder, cleanUp, err := demoFolder(command.String("folder"))
	if err != nil {
		return err
	}
	defer cleanUp()
	binary, err := nodeBinary(ctx, command.String("binary"), folder)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration("duration")+runMargin)
	defer cancel()
	summary, err := demonstrate(ctx, command, folder, binary)
	if err != nil {
		return err
	}
	line, err := json.Marshal(summary)
	if err != nil {
		return errors.Wrap(err, "encode the summary")
	}
	fmt.Println(string(line))
	return summary.Err()
}

// demoFolder returns the folder to use and what removes it in the end.
func demoFolder(given string) (string, func(), error) {
	if given != "" {
		return given, func() {}, errors.Wrap(os.MkdirAll(given, 0o755), "make the folder")
	}
	folder, err := os.MkdirTemp("", "ridgeswitch-demo-")
	return folder, func() { _ = os.RemoveAll(folder) }, errors.Wrap(err, "make a temporary folder")
}

// nodeBinary returns the binary that is given, or builds it.
func nodeBinary(ctx context.Context, given, folder string) (string, error) {
	if given != "" {
		path, err := filepath.Abs(given)
		return path, errors.Wrap(err, "find the binary")
	}
	ctx, cancel := context.WithTimeout(ctx, buildTimeout)
	defer cancel()
	path := filepath.Join(folder, "ridgeswitch")
	build := exec.CommandContext(ctx, "go", "build", "-o", path, nodePackage)
	build.Stdout = os.Stderr
	build.Stderr = os.Stderr
	return path, errors.Wrap(build.Run(), "build the node's binary; run this in the repository, or give --binary")
}

// demonstrate starts the fleet, runs the experiment and judges it. The fleet
// ends in any case.
func demonstrate(ctx context.Context, command *cli.Command, folder, binary string) (*fleet.Summary, error) {
	deployment, err := fleet.LoadDeployment(filepath.Join(command.String("deploy-folder"), command.String("deployment")))
	if err != nil {
		return nil, err
	}
	lab, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find the lab's own binary")
	}
	seed := command.Uint64("seed")
	return fleet.Demonstrate(ctx, fleet.Demonstration{
		Deployment: deployment,
		Load: fleet.LoadOptions{Seed: seed, Duration: command.Duration("duration"),
			ModelRate: command.Float64("rate")},
		Fleet: fleet.Options{NodeBinary: binary, LabBinary: lab, Folder: folder,
			TimeScale: command.Float64("time-scale"), Seed: seed},
		Log: logrus.NewEntry(demoLog()),
	})
}

func demoLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	return log
}
