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

const (
	// buildTimeout bounds the build of the node's binary, before the run.
	buildTimeout = 5 * time.Minute
	// fleetTimeScale is how many times faster than real machines replicas compute,
	// so that ten seconds hold enough requests for the rules to be tried.
	fleetTimeScale = 16
)

// nodePackage is what the node's binary is built from.
const nodePackage = "./cmd/ridgeswitch"

// fleetFlags are the flags of every command that runs a whole deployment.
func fleetFlags(modelRate float64) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Usage: "name of a folder below --deploy-folder", Value: "hivatal"},
		&cli.StringFlag{Name: "deploy-folder", Usage: "folder of the deployments", Value: "deploy"},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the load and of the faults", Value: 1},
		&cli.StringFlag{Name: "binary", Usage: "binary of ridgeswitch; built when not given"},
		&cli.Float64Flag{Name: "rate", Usage: "requests to the model per second", Value: modelRate},
		&cli.Float64Flag{Name: "time-scale", Usage: "how many times faster than real machines replicas compute", Value: fleetTimeScale},
		&cli.StringFlag{Name: "folder", Usage: "folder for settings, data and logs, kept after the run; a temporary one when not given"},
	}
}

// summary is the result of a run of a fleet, printed as JSON.
type summary interface {
	// Err is the failure of the run, or nil.
	Err() error
}

// fleetRun is what a run of a whole fleet is made of.
type fleetRun struct {
	deployment *fleet.Deployment
	options    fleet.Options
	log        *logrus.Entry
}

// runFleet runs a fleet by the flags, and prints the summary as the last line. The
// timeout bounds the run, and not the build of the binary before it.
func runFleet(ctx context.Context, command *cli.Command, timeout time.Duration, run func(context.Context, fleetRun) (summary, error)) error {
	folder, cleanUp, err := fleetFolder(command.String("folder"))
	if err != nil {
		return err
	}
	defer cleanUp()
	binary, err := nodeBinary(ctx, command.String("binary"), folder)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	prepared, err := prepareFleet(command, folder, binary)
	if err != nil {
		return err
	}
	result, err := run(ctx, prepared)
	if err != nil {
		return err
	}
	line, err := json.Marshal(result)
	if err != nil {
		return errors.Wrap(err, "encode the summary")
	}
	fmt.Println(string(line))
	return result.Err()
}

// prepareFleet reads the deployment and the flags of a run.
func prepareFleet(command *cli.Command, folder, binary string) (fleetRun, error) {
	deployment, err := fleet.LoadDeployment(filepath.Join(command.String("deploy-folder"), command.String("deployment")))
	if err != nil {
		return fleetRun{}, err
	}
	lab, err := os.Executable()
	if err != nil {
		return fleetRun{}, errors.Wrap(err, "find the lab's own binary")
	}
	options := fleet.Options{
		NodeBinary: binary, LabBinary: lab, Folder: folder,
		TimeScale: command.Float64("time-scale"), Seed: command.Uint64("seed"),
	}
	return fleetRun{deployment: deployment, options: options, log: logrus.NewEntry(fleetLog())}, nil
}

// fleetFolder returns the folder to use, and a function that removes it if it is a
// temporary one.
func fleetFolder(flag string) (string, func(), error) {
	if flag != "" {
		return flag, func() {}, errors.Wrap(os.MkdirAll(flag, 0o755), "make the folder")
	}
	folder, err := os.MkdirTemp("", "ridgeswitch-demo-")
	return folder, func() { _ = os.RemoveAll(folder) }, errors.Wrap(err, "make a temporary folder")
}

// nodeBinary returns the binary that is given, or builds it.
func nodeBinary(ctx context.Context, flag, folder string) (string, error) {
	if flag != "" {
		path, err := filepath.Abs(flag)
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

func fleetLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	return log
}
