package fleet

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.yaml.in/yaml/v3"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// drainTimeoutMS is short so that a fleet stops quickly.
const drainTimeoutMS = 3000

// settingsOf returns the settings of a node. The data folder of a node with a
// disk lies in the fleet's folder.
func settingsOf(topology *Topology, node Node, folder string) *static.Settings {
	settings := &static.Settings{
		Deployment:      topology.Name,
		Node:            node.Name,
		Zone:            node.Zone,
		Internal:        node.InternalAddress(),
		Traffic:         node.TrafficAddress(),
		Control:         node.ControlAddress(),
		Seeds:           seedsOf(topology, node),
		Group:           topology.Group,
		GroupZones:      groupZones(topology),
		PlatformAddress: topology.Platform.Address,
		DrainTimeoutMS:  drainTimeoutMS,
	}
	if node.Disk {
		settings.DataFolder = dataFolder(node, folder)
	}
	return settings
}

// dataFolder returns the path of the data folder of a node with a disk.
func dataFolder(node Node, folder string) string {
	return filepath.Join(folder, node.Name+"-data")
}

// seedsOf returns the internal addresses of the seeds other than the node.
func seedsOf(topology *Topology, node Node) []string {
	return lo.FilterMap(topology.Seeds, func(name string, _ int) (string, bool) {
		seed, known := topology.Node(name)
		return seed.InternalAddress(), known && name != node.Name
	})
}

// groupZones returns the zones of the group's nodes, in the order of the group.
func groupZones(topology *Topology) []string {
	return lo.Map(topology.Group, func(name string, _ int) string {
		node, _ := topology.Node(name)
		return node.Zone
	})
}

// writeSettings writes a node's settings file for the current topology.
func (fleet *Fleet) writeSettings(node Node) (string, error) {
	settings := settingsOf(fleet.Topology(), node, fleet.options.Folder)
	if fleet.options.Network != nil {
		settings.InternalListen = node.listenAddress()
	}
	return writeSettings(settings, node, fleet.options.Folder)
}

// writeSettings writes a node's settings file, creates its data folder and returns the
// path of the file.
func writeSettings(settings *static.Settings, node Node, folder string) (string, error) {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return "", errors.Wrap(err, "encode the settings of a node")
	}
	if settings.DataFolder != "" {
		if err := os.MkdirAll(settings.DataFolder, 0o755); err != nil {
			return "", errors.Wrap(err, "make the data folder of a node")
		}
	}
	path := filepath.Join(folder, node.Name+".yaml")
	return path, errors.Wrap(os.WriteFile(path, data, 0o644), "write the settings of a node")
}
