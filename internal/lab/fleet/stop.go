package fleet

import (
	"sync"
)

// Stop ends every process: nodes first, so that they find their counterparts
// to the end. It returns the names of nodes that had to be killed.
func (fleet *Fleet) Stop() []string {
	fleet.lock.Lock()
	fleet.stopped = true
	processes := append([]*Process(nil), fleet.processes...)
	fleet.lock.Unlock()
	late := terminate(processes, KindNode)
	terminate(processes, KindStandIn)
	terminate(processes, KindTool)
	for _, forwarder := range fleet.forwarders {
		forwarder.Close()
	}
	fleet.probe.CloseIdleConnections()
	if fleet.claimed != nil {
		_ = fleet.claimed.Close()
	}
	return late
}

// terminate ends all processes of a kind at the same time and returns the names
// of those that did not end by themselves.
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
