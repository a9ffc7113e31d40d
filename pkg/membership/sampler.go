package membership

import (
	"math/rand/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// sampler selects members for gossip, anti-entropy and probes. It owns the machine's
// only random number generator, so that equal inputs produce equal outputs.
type sampler struct {
	random *rand.Rand
	self   member.Info
	table  *memberTable
}

// newSampler returns a sampler whose generator is seeded with the node's ID and incarnation.
func newSampler(self member.Info, table *memberTable) *sampler {
	source := rand.NewPCG(ringPosition(self.ID), uint64(self.Incarnation))
	return &sampler{random: rand.New(source), self: self, table: table}
}

// shuffledLiveMembers returns the other members that may be running, those of this node's
// zone and those of other zones, each in random order. zones is the number of zones in the
// whole table.
func (s *sampler) shuffledLiveMembers() (sameZone, otherZones []member.ID, zones int) {
	seenZones := map[string]bool{}
	for _, id := range s.table.sortedIDs {
		record := &s.table.entries[id].record
		seenZones[record.Info.Zone] = true
		switch {
		case id == s.self.ID || record.certainlyFenced():
		case record.Info.Zone == s.self.Zone:
			sameZone = append(sameZone, id)
		default:
			otherZones = append(otherZones, id)
		}
	}
	for _, ids := range [][]member.ID{sameZone, otherZones} {
		s.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
	return sameZone, otherZones, len(seenZones)
}

// randomMember returns a random other member that hasn't left, or "" if there is none.
func (s *sampler) randomMember() member.ID {
	ids := s.table.sortedIDs
	first := s.random.IntN(len(ids))
	for offset := range ids {
		id := ids[(first+offset)%len(ids)]
		if id != s.self.ID && s.table.entries[id].record.State != StateLeft {
			return id
		}
	}
	return ""
}

// randomSeed returns a random one of the seeds, or "" if there is none.
func (s *sampler) randomSeed(seeds []string) string {
	if len(seeds) == 0 {
		return ""
	}
	return seeds[s.random.IntN(len(seeds))]
}
