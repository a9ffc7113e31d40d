package node

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// controlConfig returns the part of the control machine's configuration that depends on the
// settings and the data folder. The member incarnation is the wall clock in milliseconds:
// the incarnations of the node's earlier processes are not stored, and a later process needs
// a higher one.
func controlConfig(settings *static.Settings, stored *storage) control.Config {
	config := control.Config{
		Self: member.Info{
			ID:             member.ID(settings.MemberID()),
			Address:        settings.Internal,
			TrafficAddress: trafficAddress(settings),
			ControlAddress: settings.Control,
			Zone:           settings.Zone,
			HoldsState:     settings.HasDisk(),
			Incarnation:    member.Incarnation(time.Now().UnixMilli()),
		},
		Seeds:           stored.seeds(settings),
		Seeded:          settings.Seeded(),
		FailOpen:        settings.FailOpen,
		ServiceShards:   uint32(settings.ServiceShards),
		DiskIncarnation: stored.incarnation,
		Times:           control.DefaultTimes(),
		Limits:          stored.limits,
	}
	if settings.FailOpen {
		config.Times = control.FailOpenTimes(settings.ContactTimeout(), settings.AcknowledgeTimeout())
	}
	config.Times.HeartbeatEvery = settings.HeartbeatEvery()
	config.Times.EndpointReadEvery = settings.PlatformPollEvery()
	config.Times.CommandGap = settings.CommandGap()
	config.Times.WeightsDeadline = settings.WeightsDeadline()
	for _, name := range slices.Concat(settings.Group, stored.founders) {
		config.Group = append(config.Group, member.ID(name))
	}
	config.GroupZones = groupZones(settings)
	return config
}

// trafficAddress returns the address for callers that the node announces to other nodes, or
// an empty string if it serves no callers.
func trafficAddress(settings *static.Settings) string {
	if settings.ControlOnly {
		return ""
	}
	return settings.Traffic
}

// groupZones returns the zone of each node of the group, or an empty map if the settings do
// not give the zones.
func groupZones(settings *static.Settings) map[member.ID]string {
	zones := map[member.ID]string{}
	for position, zone := range settings.GroupZones {
		zones[member.ID(settings.Group[position])] = zone
	}
	return zones
}
