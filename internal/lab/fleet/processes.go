package fleet

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// processTable contains the processes of a fleet, including those that have ended. It is
// safe for concurrent use.
type processTable struct {
	// folder is where the logs of the processes are written.
	folder string

	lock      sync.Mutex
	processes []*Process
	// closed is set once no further process may start.
	closed bool
}

// launch starts a process unless the fleet has been stopped.
func (table *processTable) launch(kind ProcessKind, name, binary string, arguments ...string) (*Process, error) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.closed {
		return nil, errors.New("the fleet has been stopped")
	}
	process, err := startProcess(kind, name, table.folder, binary, arguments...)
	if err != nil {
		return nil, err
	}
	table.processes = append(table.processes, process)
	return process, nil
}

// running returns the process with the name that has not ended, or nil.
func (table *processTable) running(name string) *Process {
	table.lock.Lock()
	defer table.lock.Unlock()
	for _, process := range table.processes {
		if _, ended := process.Ended(); process.Name == name && !ended {
			return process
		}
	}
	return nil
}

// runningNode returns the running process of a node, or an error if there is none.
func (table *processTable) runningNode(name string) (*Process, error) {
	process := table.running(name)
	if process == nil {
		return nil, errors.Errorf("node %s does not run", name)
	}
	return process, nil
}

// nodeRuns returns every run of every node's process.
func (table *processTable) nodeRuns(clock *Clock) []checker.NodeRun {
	table.lock.Lock()
	defer table.lock.Unlock()
	var runs []checker.NodeRun
	for _, process := range table.processes {
		if process.Kind != KindNode {
			continue
		}
		run := checker.NodeRun{Node: process.Name}
		run.From = clock.At(process.Started)
		if ended, done := process.Ended(); done {
			run.To = clock.At(ended)
			run.Ended = true
		}
		runs = append(runs, run)
	}
	return runs
}

// stop ends every process: nodes first, so that they can reach the stand-ins until
// they have exited. It returns the names of nodes that had to be killed.
func (table *processTable) stop() []string {
	table.lock.Lock()
	table.closed = true
	processes := append([]*Process(nil), table.processes...)
	table.lock.Unlock()
	late := terminate(processes, KindNode)
	terminate(processes, KindStandIn)
	terminate(processes, KindTool)
	return late
}

// terminate ends all processes of a kind at the same time and returns the names
// of those that had to be killed.
func terminate(processes []*Process, kind ProcessKind) []string {
	var lock sync.Mutex
	var late []string
	var ending sync.WaitGroup
	for _, process := range processes {
		if process.Kind != kind {
			continue
		}
		ending.Go(func() {
			if process.Terminate(stopTimeout) {
				return
			}
			lock.Lock()
			defer lock.Unlock()
			late = append(late, process.Name)
		})
	}
	ending.Wait()
	return late
}
