package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/platform"
)

// platformLag is the delay after which the platform's list shows a change.
const platformLag = time.Second

// servicesFile is the name of the file with the platform's initial list.
const servicesFile = "services.json"

// standIn is a process that emulates a service to which nodes connect.
type standIn struct {
	name      string
	arguments []string
	// probe is a URL that answers with status 200 once the process serves.
	probe string
}

// standIns returns every stand-in of a deployment.
func standIns(options Options) []standIn {
	all := []standIn{platformStandIn(options), storeStandIn(options)}
	for number, member := range options.Topology.Replicas.Members {
		all = append(all, replicaStandIn(options, number, member))
	}
	for _, group := range options.Topology.WebServices {
		for number, member := range group.Members {
			all = append(all, webStandIn(options, group, number, member))
		}
	}
	return all
}

func platformStandIn(options Options) standIn {
	address := options.Topology.Platform.Address
	return standIn{
		name: "platform",
		arguments: []string{
			"platform", "--address", address,
			"--services", filepath.Join(options.Folder, servicesFile), "--lag", platformLag.String(),
		},
		probe: "http://" + address + servicesPath,
	}
}

func storeStandIn(options Options) standIn {
	store := options.Topology.Store
	arguments := []string{"store", "--address", store.Address, "--zone", store.Zone}
	return standIn{
		name:      "store",
		arguments: append(arguments, modelFlags(options, 0)...),
		probe:     "http://" + store.Address + replica.PathReport,
	}
}

func replicaStandIn(options Options, number int, member Backend) standIn {
	group := options.Topology.Replicas
	arguments := []string{
		"replica", "--address", member.Address, "--zone", member.Zone,
		"--class", group.MachineClass, "--weight-version", group.WeightVersion,
		"--store", options.Topology.Store.Address,
	}
	return standIn{
		name:      fmt.Sprintf("replica-%d", number+1),
		arguments: append(arguments, modelFlags(options, number+1)...),
		probe:     "http://" + member.Address + replica.PathReport,
	}
}

// eventFaultRatio is the fraction of cache events that are lost, the fraction that are
// duplicated, and the fraction that are reordered.
const eventFaultRatio = "0.01"

// modelFlags returns the flags that replicas and the store share. The number is added to
// the seed, so that each process has its own.
func modelFlags(options Options, number int) []string {
	links := options.Topology.Links
	latency := time.Duration(links.CrossZoneLatencyMicroseconds) * time.Microsecond
	return []string{
		"--time-scale", strconv.FormatFloat(options.TimeScale, 'g', -1, 64),
		"--seed", strconv.FormatUint(options.Seed+uint64(number), 10),
		"--cross-zone-latency", latency.String(),
		"--cross-zone-bandwidth", strconv.FormatFloat(links.CrossZoneBytesPerSecond, 'g', -1, 64),
		"--event-loss", eventFaultRatio, "--event-duplicates", eventFaultRatio, "--event-reorder", eventFaultRatio,
	}
}

func webStandIn(options Options, group WebGroup, number int, member Backend) standIn {
	return standIn{
		name: fmt.Sprintf("%s-%d", group.Service, number+1),
		arguments: []string{
			"webservice", "--address", member.Address,
			"--seed", strconv.FormatUint(options.Seed+uint64(number), 10),
		},
		probe: "http://" + member.Address + executionsPath,
	}
}

// writeServices writes the platform's initial list.
func writeServices(topology *Topology, folder string) error {
	list := platform.Endpoints{Services: []platform.Service{
		runningService(topology.Replicas.Service, topology.Replicas.Members),
	}}
	for _, group := range topology.WebServices {
		list.Services = append(list.Services, runningService(group.Service, group.Members))
	}
	data, err := json.Marshal(list)
	if err != nil {
		return errors.Wrap(err, "encode the platform's list")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, servicesFile), data, 0o644), "write the platform's list")
}

// runningService lists all members of a service as running.
func runningService(service string, members []Backend) platform.Service {
	return platform.Service{Name: service, Replicas: lo.Map(members, func(member Backend, _ int) platform.Replica {
		return platform.Replica{Address: member.Address, Zone: member.Zone, State: platform.StateRunning}
	})}
}
