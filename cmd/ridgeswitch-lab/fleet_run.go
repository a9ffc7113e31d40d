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
	// buildTimeout bounds the build of the node's binary, which precedes the run.
	buildTimeout = 5 * time.Minute
	// fleetTimeScale is how many times faster than real machines the replicas compute. At
	// this speed, 10 s of load contain enough requests to test the rules.
	fleetTimeScale = 16
)

// nodePackage is the Go package of the node's binary.
const nodePackage = "./cmd/ridgeswitch"

// fleetFlags returns the flags of every command that runs a whole deployment.
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
	// Err returns the failure of the run, or nil.
	Err() error
}

// fleetRun contains the deployment, the options and the log of a run of a whole fleet.
type fleetRun struct {
	deployment *fleet.Deployment
	options    fleet.Options
	log        *logrus.Entry
}

// runFleet prepares a fleet according to the flags, calls run, and prints the summary on the
// last line. The time-out bounds the run, but not the build of the binary before it.
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

// prepareFleet loads the deployment and returns the run that the flags describe.
func prepareFleet(command *cli.Command, folder, binary string) (fleetRun, error) {
	deployment, err := fleet.LoadDeployment(filepath.Join(command.String("deploy-folder"), command.String("deployment")))
	if err != nil {
		return fleetRun{}, err
	}
	lab, err := os.Executable()
	if err != nil {
		return fleetRun{}, errors.Wrap(err, "locate the executable of this process")
	}
	options := fleet.Options{
		NodeBinary: binary, LabBinary: lab, Folder: folder,
		TimeScale: command.Float64("time-scale"), Seed: command.Uint64("seed"),
	}
	return fleetRun{deployment: deployment, options: options, log: logrus.NewEntry(fleetLog())}, nil
}

// fleetFolder creates and returns the folder of the flag, or a temporary folder if the flag is
// empty. The returned function removes a temporary folder.
func fleetFolder(flag string) (string, func(), error) {
	if flag != "" {
		return flag, func() {}, errors.Wrap(os.MkdirAll(flag, 0o755), "create the folder that --folder names")
	}
	folder, err := os.MkdirTemp("", "ridgeswitch-demo-")
	return folder, func() { _ = os.RemoveAll(folder) }, errors.Wrap(err, "create a temporary folder")
}

// nodeBinary returns the path of the binary in the flag, or builds the binary in the folder if
// the flag is empty.
func nodeBinary(ctx context.Context, flag, folder string) (string, error) {
	if flag != "" {
		path, err := filepath.Abs(flag)
		return path, errors.Wrap(err, "resolve the path that --binary names")
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
