package shardstate

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// Received is the newest state of every shard that reached a node.
type Received struct {
	configuration *ridgeswitchv1.Configuration
	services      map[uint32]*controlpb.ServiceState
	revisions     map[uint32]uint64
	decoders      map[uint32]*Decoder
}

// NewReceived returns the states of a node that has received none.
func NewReceived() *Received {
	return &Received{
		configuration: &ridgeswitchv1.Configuration{},
		services:      map[uint32]*controlpb.ServiceState{},
		revisions:     map[uint32]uint64{},
		decoders:      map[uint32]*Decoder{},
	}
}

// Configuration returns the newest configuration, which is empty before the first;
// read only.
func (r *Received) Configuration() *ridgeswitchv1.Configuration { return r.configuration }

// Service returns the newest state of a service shard, or nil before the first; read
// only.
func (r *Received) Service(shardID uint32) *controlpb.ServiceState { return r.services[shardID] }

// Message returns the newest state of any shard; read only.
func (r *Received) Message(shardID uint32) proto.Message {
	if shardID == ConfigurationShard {
		return r.configuration
	}
	return r.services[shardID]
}

// Revision returns the revision of a shard's newest state; 0 before the first.
func (r *Received) Revision(shardID uint32) uint64 { return r.revisions[shardID] }

// Apply takes an update and reports whether it brought a newer state: a node never goes
// back to an older revision. Snapshot returns the sections of the whole state; it is called when
// there is no earlier state to apply the update to. After an error the last state
// stays, and the next update is decoded from the whole state.
func (r *Received) Apply(update relaytree.Update, snapshot func(relaytree.Topic) []relaytree.Section) (bool, error) {
	shardID := uint32(update.Topic)
	if update.Revision <= r.revisions[shardID] {
		return false, nil
	}
	decoder := r.decoders[shardID]
	if decoder == nil {
		decoder = NewDecoder(shardID)
		r.decoders[shardID] = decoder
		update.Sections = snapshot(update.Topic)
		update.Removed = nil
	}
	decoded, err := decoder.Apply(update)
	if err != nil {
		delete(r.decoders, shardID)
		return false, errors.Wrapf(err, "decode revision %d of shard %d", update.Revision, shardID)
	}
	switch state := decoded.(type) {
	case *ridgeswitchv1.Configuration:
		r.configuration = state
	case *controlpb.ServiceState:
		r.services[shardID] = state
	}
	r.revisions[shardID] = update.Revision
	return true, nil
}
