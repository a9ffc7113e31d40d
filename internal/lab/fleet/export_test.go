package fleet

import "github.com/ridgeswitch/ridgeswitch/internal/lab/caller"

// What the tests reach beside the exported interface.
var (
	StartProcess = startProcess
)

// WriteSettings writes the settings file of a node.
func WriteSettings(topology *Topology, node Node, folder string) (string, error) {
	return writeSettings(settingsOf(topology, node, folder), node, folder)
}

// NodeSettings writes the settings that a node would be started with.
func (fleet *Fleet) NodeSettings(name string) (string, error) {
	node, _ := fleet.Topology().Node(name)
	return fleet.writeSettings(node)
}

// EndLoadWithScript returns a script, and a load that ends with it.
func EndLoadWithScript(script Script, load caller.Load) (Script, caller.Load) {
	return endLoadWithScript(script, load)
}
