package fleet

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// nodeStopTimeout is how long a node may take to exit after SIGTERM. It covers the drain
// timeout, the notice to load balancers before the drain, and delays on a busy machine.
const nodeStopTimeout = drainTimeoutMS*time.Millisecond + 7*time.Second

// KillNode kills a node without a shutdown, as a power loss would.
func (fleet *Fleet) KillNode(name string) error {
	process, err := fleet.processes.runningNode(name)
	if err != nil {
		return err
	}
	process.Kill()
	return nil
}

// RestartNode starts a stopped node again with its existing data folder.
func (fleet *Fleet) RestartNode(name string) error {
	node, known := fleet.Topology().Node(name)
	if !known {
		return errors.Errorf("the topology has no node %s", name)
	}
	if fleet.processes.running(name) != nil {
		return errors.Errorf("node %s is already running", name)
	}
	return fleet.StartNode(node)
}

// StopNode sends SIGTERM to a node and waits until it has exited. It returns an error if
// the node exits with a failure, or does not exit within nodeStopTimeout and is killed.
func (fleet *Fleet) StopNode(name string) error {
	process, err := fleet.processes.runningNode(name)
	if err != nil {
		return err
	}
	if !process.Terminate(nodeStopTimeout) {
		return errors.Errorf("node %s did not exit within %v after SIGTERM and was killed", name, nodeStopTimeout)
	}
	return errors.Wrapf(process.Err(), "node %s exited with a failure", name)
}

// FreezeNode suspends a node's process with SIGSTOP.
func (fleet *Fleet) FreezeNode(name string) error {
	process, err := fleet.processes.runningNode(name)
	if err != nil {
		return err
	}
	process.Freeze()
	return nil
}

// ThawNode resumes a frozen node.
func (fleet *Fleet) ThawNode(name string) error {
	process, err := fleet.processes.runningNode(name)
	if err != nil {
		return err
	}
	process.Thaw()
	return nil
}

// LoseDisk removes the data folder of a node, as the loss of its disk would. The node
// must not be running.
func (fleet *Fleet) LoseDisk(name string) error {
	node, known := fleet.Topology().Node(name)
	if !known || !node.Disk {
		return errors.Errorf("the topology has no node %s with a disk", name)
	}
	if fleet.processes.running(name) != nil {
		return errors.Errorf("node %s is running; kill it first", name)
	}
	return errors.Wrap(os.RemoveAll(dataFolder(node, fleet.options.Folder)), "remove a data folder")
}

// DataFolder returns the folder of a node with a disk.
func (fleet *Fleet) DataFolder(name string) string {
	return dataFolder(Node{Name: name}, fleet.options.Folder)
}

// MoveNode changes the address of a node, which must not be running. The node keeps its
// name, so it remains a seed if it was one.
func (fleet *Fleet) MoveNode(name, address string) error {
	if fleet.processes.running(name) != nil {
		return errors.Errorf("node %s is running; kill it first", name)
	}
	if fleet.options.Network != nil {
		return errors.New("nodes cannot move to other addresses while a link network relays their traffic: the relays listen at the initial addresses")
	}
	if _, err := netip.ParseAddr(address); err != nil {
		return errors.Wrapf(err, "parse the new address of node %s", name)
	}
	return fleet.change(func(topology *Topology) {
		for number := range topology.Nodes {
			if topology.Nodes[number].Name == name {
				topology.Nodes[number].Address = address
			}
		}
	})
}

// MoveSeeds replaces the list of seeds. A node gets the new list when it is started again.
func (fleet *Fleet) MoveSeeds(seeds []string) error {
	return fleet.change(func(topology *Topology) { topology.Seeds = seeds })
}

// change replaces the topology with an edited copy if the copy is valid.
func (fleet *Fleet) change(edit func(*Topology)) error {
	changed := *fleet.Topology()
	changed.Nodes = append([]Node(nil), changed.Nodes...)
	edit(&changed)
	if err := changed.Check(); err != nil {
		return err
	}
	fleet.topology.Store(&changed)
	return nil
}

// AwaitNode waits until a node is ready.
func (fleet *Fleet) AwaitNode(ctx context.Context, name string) error {
	node, known := fleet.Topology().Node(name)
	if !known {
		return errors.Errorf("the topology has no node %s", name)
	}
	return fleet.await(ctx, name, "http://"+node.ControlAddress()+readyPath)
}
