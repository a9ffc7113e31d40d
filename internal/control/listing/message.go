package listing

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing/listingpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Message is a message between nodes. Exactly one field is set.
type Message struct {
	Reading *Reading
	Request *Request
}

// Outbound is a message and its recipient.
type Outbound struct {
	To      member.ID
	Message Message
}

// Version identifies and orders readings.
type Version struct {
	// Term increases with each change of the reader.
	Term   uint64
	Reader member.ID
	// Sequence numbers the readings of one reader in one term.
	Sequence uint64
}

// newerThan reports whether a reading follows another one. Two nodes that did not know of
// each other may both have become the reader in one term; they are ordered by their
// weights, so that all nodes choose the same reading.
func (v Version) newerThan(other Version) bool {
	if v.Term != other.Term {
		return v.Term > other.Term
	}
	if v.Reader == other.Reader {
		return v.Sequence > other.Sequence
	}
	return precedes(v.Reader, other.Reader)
}

// Reading is one reading as nodes send it to each other.
type Reading struct {
	Version Version
	// Age is the time from the start of the reading until the message was sent.
	Age time.Duration
	// ReadAt is when the reading began, on the reader's clock.
	ReadAt time.Duration
	// Digest is the digest of the whole list.
	Digest uint64
	// Base is the digest of the list that Changes apply to; 0 if Changes contains the
	// whole list.
	Base    uint64
	Changes []change
	// AnswersRequest is the number of the request that the message answers; 0 if it
	// answers no numbered request.
	AnswersRequest uint64
	// Forward tells the receiver to forward the message within its zone.
	Forward bool
}

// Request asks the receiver for a reading that is newer than the sender's.
type Request struct {
	// Version and Digest are those of the sender's newest reading.
	Version Version
	Digest  uint64
	// Number identifies a request for a proof of freshness, which the receiver answers
	// even without a newer reading; 0 in other requests.
	Number uint64
}

// Encode returns the message in its wire format.
func (m Message) Encode() ([]byte, error) {
	if m.Request != nil {
		return proto.Marshal(&listingpb.Request{
			Term:     m.Request.Version.Term,
			Reader:   string(m.Request.Version.Reader),
			Sequence: m.Request.Version.Sequence,
			Digest:   m.Request.Digest,
			Number:   m.Request.Number,
		})
	}
	return proto.Marshal(m.Reading.pack())
}

// DecodeRequest decodes a request that Encode has encoded.
func DecodeRequest(payload []byte) (Message, error) {
	packed := &listingpb.Request{}
	if err := proto.Unmarshal(payload, packed); err != nil {
		return Message{}, errors.Wrap(err, "decode another node's request for the platform's list")
	}
	return Message{Request: &Request{
		Version: Version{Term: packed.GetTerm(), Reader: member.ID(packed.GetReader()), Sequence: packed.GetSequence()},
		Digest:  packed.GetDigest(),
		Number:  packed.GetNumber(),
	}}, nil
}

// DecodeReading decodes a reading that Encode has encoded.
func DecodeReading(payload []byte) (Message, error) {
	packed := &listingpb.List{}
	if err := proto.Unmarshal(payload, packed); err != nil {
		return Message{}, errors.Wrap(err, "decode the platform's list sent by another node")
	}
	reading := &Reading{
		Version:        Version{Term: packed.GetTerm(), Reader: member.ID(packed.GetReader()), Sequence: packed.GetSequence()},
		Age:            milliseconds(packed.GetAgeMs()),
		ReadAt:         milliseconds(packed.GetReadAtMs()),
		Digest:         packed.GetDigest(),
		Base:           packed.GetBase(),
		Forward:        packed.GetForward(),
		AnswersRequest: packed.GetAnswers(),
	}
	for _, replica := range packed.GetReplicas() {
		reading.Changes = append(reading.Changes, unpackChange(replica, packed.GetNames()))
	}
	return Message{Reading: reading}, nil
}

func (r *Reading) pack() *listingpb.List {
	packed := &listingpb.List{
		Term:     r.Version.Term,
		Reader:   string(r.Version.Reader),
		Sequence: r.Version.Sequence,
		AgeMs:    uint64(r.Age.Milliseconds()),
		ReadAtMs: uint64(r.ReadAt.Milliseconds()),
		Digest:   r.Digest,
		Base:     r.Base,
		Forward:  r.Forward,
		Answers:  r.AnswersRequest,
	}
	names := nameTable{numbers: map[string]uint32{}}
	for _, one := range r.Changes {
		packed.Replicas = append(packed.Replicas, packChange(one, &names))
	}
	packed.Names = names.names
	return packed
}

func packChange(one change, names *nameTable) *listingpb.Replica {
	packed := &listingpb.Replica{
		Address: one.replica.Address,
		Service: names.number(one.replica.Service),
		Gone:    one.gone,
	}
	if one.gone {
		return packed
	}
	packed.Zone = names.number(one.replica.Zone)
	packed.Instance = one.replica.Instance
	packed.WeightVersion = names.number(one.replica.WeightVersion)
	packed.Slots = uint32(one.replica.Slots)
	packed.Draining = one.replica.Draining
	packed.ColdUntilMs = uint64(one.replica.WarmingUntil.Milliseconds())
	return packed
}

func unpackChange(packed *listingpb.Replica, names []string) change {
	return change{
		gone: packed.GetGone(),
		replica: Replica{
			Service:       nameAt(names, packed.GetService()),
			Address:       packed.GetAddress(),
			Zone:          nameAt(names, packed.GetZone()),
			Instance:      packed.GetInstance(),
			WeightVersion: nameAt(names, packed.GetWeightVersion()),
			Slots:         int(packed.GetSlots()),
			Draining:      packed.GetDraining(),
			WarmingUntil:  milliseconds(packed.GetColdUntilMs()),
		},
	}
}

// nameTable assigns numbers from 1 to names, so that a message contains each name once. 0
// stands for the empty name.
type nameTable struct {
	names   []string
	numbers map[string]uint32
}

func (t *nameTable) number(name string) uint32 {
	if name == "" {
		return 0
	}
	if number, known := t.numbers[name]; known {
		return number
	}
	t.names = append(t.names, name)
	t.numbers[name] = uint32(len(t.names))
	return t.numbers[name]
}

// nameAt returns the name with a number, or the empty name if the table has no such number.
func nameAt(names []string, number uint32) string {
	if number == 0 || int64(number) > int64(len(names)) {
		return ""
	}
	return names[number-1]
}

// milliseconds converts a number of milliseconds to a duration. It caps the duration at
// 2^40 ms, so that sums of durations do not overflow.
func milliseconds(count uint64) time.Duration {
	const maxCount = uint64(1) << 40
	return time.Duration(min(count, maxCount)) * time.Millisecond
}
