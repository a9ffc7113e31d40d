// Command knownred runs all tests of the module and passes over the failures of
// those that KNOWN-RED.txt lists, which it runs alone and prints. Any other
// failure ends it with status 1. So does an entry that selects no test, or more
// than one. Without the list it is the same as go test ./..., but for some packages that
// it runs by themselves.
package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
)

// failuresPath is where the list stands, seen from the root of the repository.
const failuresPath = "KNOWN-RED.txt"

// packagesAlone are the packages whose tests measure processes, so that nothing else may run
// beside them.
var packagesAlone = []string{"./platform/crowd"}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run() error {
	entries, err := ReadFailures(failuresPath)
	if err != nil {
		return err
	}
	return Runner{Go: runGo, Out: os.Stdout, Alone: packagesAlone}.Run(entries)
}

// runGo runs the go command in the current folder.
func runGo(arguments ...string) (Output, error) {
	return runProgram("go", arguments...)
}

// runProgram runs a program and keeps its two streams apart.
func runProgram(program string, arguments ...string) (Output, error) {
	var standard bytes.Buffer
	var all lockedBuffer
	command := exec.Command(program, arguments...)
	command.Stdout = io.MultiWriter(&standard, &all)
	command.Stderr = &all
	err := command.Run()
	return Output{Standard: standard.String(), All: all.buffer.String()}, err
}

// lockedBuffer takes what is written by several goroutines, one for each stream.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(content)
}
