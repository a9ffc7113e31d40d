package shardstate

import (
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// Configuration is the state of the configuration shard.
type Configuration struct {
	*dynamic.Machine
}

// NewConfiguration returns a state that begins with a copy of the encoded one.
func NewConfiguration(state *controlpb.ConfigurationState) *Configuration {
	return &Configuration{Machine: dynamic.NewMachine(state)}
}

// Revision returns the revision of the configuration.
func (c *Configuration) Revision() uint64 {
	return c.Configuration().GetRevision()
}

// Sections encodes the configuration and the answers to the newest orders.
func (c *Configuration) Sections() ([]relaytree.Section, error) {
	sections, err := encodeSections(c.Configuration(), configurationFields)
	if err != nil {
		return nil, err
	}
	answers, err := encodeAnswers(c.Revision(), c.AcceptedAnswers())
	return append(sections, answers...), err
}

// Equals reports whether a relayed configuration equals the configuration of this state.
func (c *Configuration) Equals(relayed proto.Message) bool {
	return proto.Equal(c.Configuration(), relayed)
}
