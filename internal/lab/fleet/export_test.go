package fleet

import "github.com/ridgeswitch/ridgeswitch/internal/lab/caller"

// Unexported functions that the tests use.
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

// EndLoadWithScript wraps a script and a load so that the load ends when the script has ended.
func EndLoadWithScript(script Script, load caller.Load) (Script, caller.Load) {
	return endLoadWithScript(script, load)
}
