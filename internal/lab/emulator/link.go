package emulator

import "time"

// Link is the way between two machines.
type Link struct {
	Latency        time.Duration
	BytesPerSecond float64
}

// ZonePair names the direction of a link.
type ZonePair struct {
	From string
	To   string
}

// LinkModel gives the link of each zone pair.
type LinkModel struct {
	SameZone  Link
	CrossZone Link
	// Pairs overrides single directions.
	Pairs map[ZonePair]Link
	// Slowdown divides every bandwidth; 0 means 1.
	Slowdown float64
}

// DefaultLinks returns 50 Gbit/s within a zone and 20 Gbit/s between zones, as a
// share of a machine's network that transfers may use, at the given latency
// between zones.
func DefaultLinks(crossZoneLatency time.Duration) LinkModel {
	const gigabit = 1e9 / 8
	return LinkModel{
		SameZone:  Link{Latency: 200 * time.Microsecond, BytesPerSecond: 50 * gigabit},
		CrossZone: Link{Latency: crossZoneLatency, BytesPerSecond: 20 * gigabit},
	}
}

// Between returns the link from one zone to another.
func (m LinkModel) Between(from, to string) Link {
	if link, ok := m.Pairs[ZonePair{From: from, To: to}]; ok {
		return link
	}
	if from == to {
		return m.SameZone
	}
	return m.CrossZone
}

// TransferTime returns how long the kept state of some tokens takes.
func (m LinkModel) TransferTime(from, to string, tokens uint64) time.Duration {
	link := m.Between(from, to)
	bytesPerSecond := link.BytesPerSecond
	if m.Slowdown > 0 {
		bytesPerSecond /= m.Slowdown
	}
	seconds := float64(tokens*BytesPerToken) / bytesPerSecond
	return link.Latency + time.Duration(seconds*float64(time.Second))
}
