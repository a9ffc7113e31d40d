// Command knownred runs all tests of the module and passes over the failures of
// those that KNOWN-RED.txt lists, which it runs alone and prints. Any other
// failure ends it with status 1. So does an entry that selects no test, or more
// than one. Without the list it is the same as go test ./...
package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
)

// listPath is where the list stands, seen from the root of the repository.
const listPath = "KNOWN-RED.txt"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run() error {
	entries, err := ReadList(listPath)
	if err != nil {
		return err
	}
	return Runner{Go: runGo, Out: os.Stdout}.Run(entries)
}

// runGo runs the go command in the current folder.
func runGo(arguments ...string) (string, error) {
	var output bytes.Buffer
	command := exec.Command("go", arguments...)
	command.Stdout = &output
	command.Stderr = &output
	err := command.Run()
	return output.String(), err
}
