package fleet

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// nodeStopTimeout is how long a node may take to end after SIGTERM: its drain
// time, the notice to balancers before it, and a busy machine.
const nodeStopTimeout = drainTimeoutMS*time.Millisecond + 7*time.Second

// KillNode ends a node at once, as a power loss would.
func (fleet *Fleet) KillNode(name string) error {
	process, err := fleet.processes.runningNode(name)
	if err != nil {
		return err
	}
	process.Kill()
	return nil
}

// RestartNode starts a node again on the data that it left.
func (fleet *Fleet) RestartNode(name string) error {
	node, known := fleet.Topology().Node(name)
	if !known {
		return errors.Errorf("the topology has no node %s", name)
	}
	if fleet.processes.running(name) != nil {
		return errors.Errorf("node %s runs already", name)
	}
	return fleet.StartNode(node)
}

// StopNode signals a node to end and returns when it has. A node that does not end
// by itself in time is killed, which is an error, as a failure is.
func (fleet *Fleet) StopNode(name string) error {
	process, err := fleet.processes.runningNode(name)
	if err != nil {
		return err
	}
	if !process.Terminate(nodeStopTimeout) {
		return errors.Errorf("node %s did not end by itself within %v", name, nodeStopTimeout)
	}
	return errors.Wrapf(process.Err(), "node %s ended", name)
}

// FreezeNode stops a node's process where it is.
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

// LoseDisk removes all that a node kept, which must not run.
func (fleet *Fleet) LoseDisk(name string) error {
	node, known := fleet.Topology().Node(name)
	if !known || !node.Disk {
		return errors.Errorf("the topology has no node %s with a disk", name)
	}
	if fleet.processes.running(name) != nil {
		return errors.Errorf("node %s runs; kill it first", name)
	}
	return errors.Wrap(os.RemoveAll(dataFolder(node, fleet.options.Folder)), "remove a data folder")
}

// DataFolder returns the folder of a node with a disk.
func (fleet *Fleet) DataFolder(name string) string {
	return dataFolder(Node{Name: name}, fleet.options.Folder)
}

// MoveNode gives a node, which must not run, a machine at another address. It
// is the seed that it was.
func (fleet *Fleet) MoveNode(name, address string) error {
	if fleet.processes.running(name) != nil {
		return errors.Errorf("node %s runs; kill it first", name)
	}
	if fleet.options.Network != nil {
		return errors.New("machines do not move where links are held: relays stand at the addresses of the start")
	}
	if _, err := netip.ParseAddr(address); err != nil {
		return errors.Wrap(err, "move a node")
	}
	return fleet.change(func(topology *Topology) {
		for number := range topology.Nodes {
			if topology.Nodes[number].Name == name {
				topology.Nodes[number].Address = address
			}
		}
	})
}

// MoveSeeds names other seeds, of which nodes learn when they start again.
func (fleet *Fleet) MoveSeeds(seeds []string) error {
	return fleet.change(func(topology *Topology) { topology.Seeds = seeds })
}

// change replaces the topology by a changed copy.
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

// AwaitNode returns when a node is ready.
func (fleet *Fleet) AwaitNode(ctx context.Context, name string) error {
	node, known := fleet.Topology().Node(name)
	if !known {
		return errors.Errorf("the topology has no node %s", name)
	}
	return fleet.await(ctx, name, "http://"+node.ControlAddress()+readyPath)
}
