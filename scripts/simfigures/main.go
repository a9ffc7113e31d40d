// Command simfigures checks that the simulator counts what it counted before.
//
// The simulator is deterministic: the same seeds give the same number of
// frames, requests, orders and so on. A change that only renames or moves code
// therefore leaves these figures equal to the last digit. Run it in the root of
// the repository:
//
//	go run ./scripts/simfigures          # compare with the committed figures
//	go run ./scripts/simfigures --write  # after a change of behaviour: write new ones
//
// It exits with status 1 when a figure differs.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// figuresFolder holds the committed figures, one file for each mode.
const figuresFolder = "scripts/simfigures/figures"

// mode is one kind of deployment that the simulator plays.
type mode struct {
	name string
	// flags are the simulator's flags that select this kind.
	flags []string
}

var modes = []mode{
	{name: "plain"},
	{name: "finish-first", flags: []string{"--finish-first"}},
	{name: "fail-open", flags: []string{"--fail-open", "--finish-first"}},
}

func main() {
	write := flag.Bool("write", false, "write the figures instead of comparing them")
	seeds := flag.String("seeds", "1-150", "seeds to run with --write; a comparison runs those of the file")
	jobs := flag.Int("jobs", 4, "seeds that run at once")
	flag.Parse()

	differences, err := run(context.Background(), *write, *seeds, *jobs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "simfigures:", err)
		os.Exit(1)
	}
	if differences > 0 {
		fmt.Fprintf(os.Stderr, "simfigures: %d figures differ\n", differences)
		os.Exit(1)
	}
}

// run writes or compares the figures of all modes. It returns the number of
// figures that differ from the committed ones.
func run(ctx context.Context, write bool, seeds string, jobs int) (int, error) {
	simulator, cleanUp, err := buildSimulator(ctx)
	if err != nil {
		return 0, err
	}
	defer cleanUp()

	total := 0
	for _, m := range modes {
		path := filepath.Join(figuresFolder, m.name+".json")
		if write {
			if err := writeFigures(ctx, simulator, m, path, seeds, jobs); err != nil {
				return total, err
			}
			continue
		}
		differences, err := compareFigures(ctx, simulator, m, path, jobs)
		if err != nil {
			return total, err
		}
		total += report(m, differences)
	}
	return total, nil
}

// report prints what differs in a mode and returns how much.
func report(m mode, differences []difference) int {
	if len(differences) == 0 {
		fmt.Printf("%s: equal\n", m.name)
	}
	for _, d := range differences {
		fmt.Printf("%s: %s: %s before, %s now\n", m.name, d.key, d.before, d.now)
	}
	return len(differences)
}
