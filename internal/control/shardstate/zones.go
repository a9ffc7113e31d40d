package shardstate

import ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"

// ZoneSet is a set of zone names.
type ZoneSet map[string]struct{}

// Has reports whether a zone is in the set.
func (z ZoneSet) Has(zone string) bool {
	_, found := z[zone]
	return found
}

// EvacuatedZones returns the zones whose back ends receive no requests.
func EvacuatedZones(configuration *ridgeswitchv1.Configuration) ZoneSet {
	zones := ZoneSet{}
	for _, evacuation := range configuration.GetEvacuations() {
		zones[evacuation.GetZone()] = struct{}{}
	}
	return zones
}
