package shardstate

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// Received contains the newest state of every shard that reached a node.
type Received struct {
	configuration *ridgeswitchv1.Configuration
	services      map[uint32]*controlpb.ServiceState
	revisions     map[uint32]uint64
	decoders      map[uint32]*Decoder
}

// NewReceived returns a Received without states.
func NewReceived() *Received {
	return &Received{
		configuration: &ridgeswitchv1.Configuration{},
		services:      map[uint32]*controlpb.ServiceState{},
		revisions:     map[uint32]uint64{},
		decoders:      map[uint32]*Decoder{},
	}
}

// Configuration returns the newest configuration, or an empty one if none was received;
// read only.
func (r *Received) Configuration() *ridgeswitchv1.Configuration { return r.configuration }

// Service returns the newest state of a service shard, or nil if none was received; read
// only.
func (r *Received) Service(shardID uint32) *controlpb.ServiceState { return r.services[shardID] }

// Message returns the newest state of a shard of either kind; read only.
func (r *Received) Message(shardID uint32) proto.Message {
	if shardID == ConfigurationShard {
		return r.configuration
	}
	return r.services[shardID]
}

// Revision returns the revision of a shard's newest state, or 0 if none was received.
func (r *Received) Revision(shardID uint32) uint64 { return r.revisions[shardID] }

// Apply applies an update and reports whether the state of the shard is newer now. It
// ignores an update that is not newer, so that a node never returns to an older revision.
// If the shard has no decoder, as at first and after an error, Apply calls snapshot and
// decodes the sections of the whole state in place of those of the update. After an error
// the previous state stays in use.
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
