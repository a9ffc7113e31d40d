package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/pkg/errors"
)

// machineKeys are the figures of a run that depend on the machine: the time that it
// took, and the histories whose check was given up after a wall-clock limit
// (historyTimeout in internal/lab/sim/history.go).
var machineKeys = []string{"wall_seconds", "histories_undecided"}

// figures is the summary that the simulator prints, key by key, with the values
// as they stand in its JSON.
type figures map[string]json.RawMessage

// difference is a key whose value isn't what it was.
type difference struct {
	key, before, now string
}

// buildSimulator builds the lab program into a temporary folder. The caller
// calls the returned function once the program is not needed any more.
func buildSimulator(ctx context.Context) (path string, cleanUp func(), err error) {
	folder, err := os.MkdirTemp("", "simfigures")
	if err != nil {
		return "", nil, errors.Wrap(err, "temporary folder")
	}
	cleanUp = func() { _ = os.RemoveAll(folder) }
	path = filepath.Join(folder, "ridgeswitch-lab")
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "./cmd/ridgeswitch-lab")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		cleanUp()
		return "", nil, errors.Wrap(err, "build ./cmd/ridgeswitch-lab")
	}
	return path, cleanUp, nil
}

// simulate runs the seeds of a mode and returns what the simulator counted. The
// simulator's exit status is not an error here: failing seeds are figures too.
func simulate(ctx context.Context, simulator string, m mode, seeds string, jobs int) (figures, error) {
	arguments := append([]string{"sim", "--seeds", seeds, "--jobs", strconv.Itoa(jobs)}, m.flags...)
	output, err := exec.CommandContext(ctx, simulator, arguments...).Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return nil, errors.Wrap(err, "run the simulator")
	}
	counted, err := parseFigures(output)
	return counted, errors.Wrapf(err, "output of %s %v", simulator, arguments)
}

// parseFigures reads a summary and drops what depends on the machine.
func parseFigures(summary []byte) (figures, error) {
	var all figures
	if err := json.Unmarshal(summary, &all); err != nil {
		return nil, errors.Wrap(err, "not one JSON object")
	}
	for _, key := range machineKeys {
		delete(all, key)
	}
	return all, nil
}

// writeFigures runs the seeds of a mode and writes the figures to a file.
func writeFigures(ctx context.Context, simulator string, m mode, path, seeds string, jobs int) error {
	counted, err := simulate(ctx, simulator, m, seeds, jobs)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(counted, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode figures")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "write figures")
}

// compareFigures runs the seeds of a file of figures again and returns what differs.
func compareFigures(ctx context.Context, simulator string, m mode, path string, jobs int) ([]difference, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read figures")
	}
	before, err := parseFigures(text)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	seeds := fmt.Sprintf("%s-%s", before["first_seed"], before["last_seed"])
	now, err := simulate(ctx, simulator, m, seeds, jobs)
	if err != nil {
		return nil, err
	}
	return compare(before, now), nil
}

// compare returns every key whose value differs, in the order of the keys. A key
// that only one side has differs as well.
func compare(before, now figures) []difference {
	keys := map[string]bool{}
	for key := range before {
		keys[key] = true
	}
	for key := range now {
		keys[key] = true
	}
	var different []difference
	for key := range keys {
		if compact(before[key]) != compact(now[key]) {
			different = append(different, difference{key, compact(before[key]), compact(now[key])})
		}
	}
	slices.SortFunc(different, func(a, b difference) int { return bytes.Compare([]byte(a.key), []byte(b.key)) })
	return different
}

// compact returns a value without white space, or "nothing" when it is missing.
func compact(value json.RawMessage) string {
	if value == nil {
		return "nothing"
	}
	var text bytes.Buffer
	if err := json.Compact(&text, value); err != nil {
		return string(value)
	}
	return text.String()
}
