package wire

import (
	"errors"
	"fmt"
	"reflect"
	"runtime"

	flatbuffers "github.com/google/flatbuffers/go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const filledElements = 2

// filler sets every field that it reaches to a non-zero value, mostly one that no other
// field has, so that a round trip shows fields that the encoding drops or confuses.
type filler struct{ next uint64 }

func (f *filler) fill(value reflect.Value, path string) {
	f.next++
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(f.next%255 + 1)
	case reflect.Int:
		value.SetInt(int64(f.next%255 + 1))
	case reflect.Float64:
		value.SetFloat(float64(f.next%255 + 1))
	case reflect.Array:
		for i := range value.Len() {
			f.fill(value.Index(i), path)
		}
	case reflect.String:
		value.SetString(fmt.Sprintf("%s-%d", path, f.next))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem(), path)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), filledElements, filledElements))
		for i := range value.Len() {
			f.fill(value.Index(i), path)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			f.fill(value.Field(i), path+"."+value.Type().Field(i).Name)
		}
	default:
		Fail("filler does not support the kind of " + path)
	}
}

// filledEnvelopes returns one envelope for each message, with every field set.
func filledEnvelopes() []Envelope {
	envelopeType := reflect.TypeFor[Envelope]()
	var envelopes []Envelope
	for i := range envelopeType.NumField() {
		if envelopeType.Field(i).Type.Kind() != reflect.Pointer {
			continue
		}
		var envelope Envelope
		fields := &filler{}
		value := reflect.ValueOf(&envelope).Elem()
		for j := range envelopeType.NumField() {
			if j == i || envelopeType.Field(j).Type.Kind() != reflect.Pointer {
				fields.fill(value.Field(j), envelopeType.Field(j).Name)
			}
		}
		envelopes = append(envelopes, envelope)
	}
	return envelopes
}

func kindOf(err error) ErrorKind {
	var refused *Error
	ExpectWithOffset(1, errors.As(err, &refused)).To(BeTrue())
	return refused.Kind
}

var _ = Describe("Frames", func() {
	It("carry every field of every message", func() {
		envelopes := filledEnvelopes()
		Expect(envelopes).To(HaveLen(5))
		for _, envelope := range envelopes {
			Expect(Decode(Encode(envelope))).To(Equal(envelope))
		}
	})

	It("carry messages of which no field is set", func() {
		for _, envelope := range []Envelope{
			{Replication: &replication.Message{}},
			{Membership: &membership.Message{}},
			{Relay: &relaytree.Message{}},
			{Control: &protocol.Message{}},
		} {
			Expect(Decode(Encode(envelope))).To(Equal(envelope))
		}
	})

	It("distinguish an empty command from a missing one", func() {
		entries := []replication.Entry{{Index: 1, Command: []byte{}}, {Index: 2}}
		envelope := Envelope{Replication: &replication.Message{Entries: entries}}
		Expect(Decode(Encode(envelope))).To(Equal(envelope))
	})

	It("encode names that are canonical IPv4 endpoints as numbers, and other names as texts", func() {
		names := []string{"10.4.64.49:8782", "255.255.255.255:65535", "0.0.0.0:0", "010.4.64.49:8782", "10.4.64.49", "[::1]:80", "node-1", ""}
		batch := &gossip.Batch{Stage: gossip.RelayToRelay}
		for _, name := range names {
			load := kvrouter.AddressLoad{Address: name}
			load.Requests = 2
			load.PrefillTokens[0], load.PrefillTokens[1] = 100, 30
			batch.Updates = append(batch.Updates, gossip.Update{
				Node:          member.ID(name),
				Loads:         []kvrouter.AddressLoad{load},
				Dispatches:    []gossip.Dispatch{},
				Reports:       []gossip.Report{},
				GoneInstances: []gossip.GoneInstance{},
				Outcomes:      []outlier.Report{},
			})
		}
		envelope := Envelope{Traffic: batch}
		Expect(Decode(Encode(envelope))).To(Equal(envelope))
		Expect(fb.GetRootAsEnvelope(Encode(envelope), 0).Traffic(nil).EndpointsLength()).To(Equal(3))
	})

	It("carry the membership table of a large deployment in less than 120 bytes per member", func() {
		message := &membership.Message{}
		for number := range 4000 {
			host := fmt.Sprintf("10.%d.%d.7", number/250, number%250)
			message.Records = append(message.Records, membership.Record{
				Info: member.Info{
					ID: member.ID(host + ":7340"), Address: host + ":7340", TrafficAddress: host + ":8782",
					ControlAddress: host + ":8789", Zone: "zone", Incarnation: 1_700_000_000_000,
				},
				State:   membership.StateAlive,
				Version: 1,
			})
		}
		frame := Encode(Envelope{Membership: message})
		Expect(Decode(frame)).To(Equal(Envelope{Membership: message}))
		Expect(len(frame) / len(message.Records)).To(BeNumerically("<", 80))
		for position := range message.Records {
			record := &message.Records[position]
			record.MonitorSetVersion = 3
			for distance := 1; distance <= 3; distance++ {
				monitor := message.Records[(position+distance)%len(message.Records)].Info
				record.Monitors = append(record.Monitors, monitor.ID)
				record.MonitorBoots = append(record.MonitorBoots, monitor.Incarnation+member.Incarnation(distance))
			}
		}
		frame = Encode(Envelope{Membership: message})
		Expect(Decode(frame)).To(Equal(Envelope{Membership: message}))
		Expect(len(frame) / len(message.Records)).To(BeNumerically("<", 120))
	})

	It("carry many records", func() {
		message := &membership.Message{Records: make([]membership.Record, 2000)}
		Expect(Decode(Encode(Envelope{Membership: message}))).To(Equal(Envelope{Membership: message}))
	})

	It("share no memory with the decoded envelope", func() {
		sections := []relaytree.Section{{Name: "name", Content: []byte("state")}}
		envelope := Envelope{Relay: &relaytree.Message{Sections: sections}}
		frame := Encode(envelope)
		decoded, err := Decode(frame)
		Expect(err).NotTo(HaveOccurred())
		clear(frame)
		Expect(decoded).To(Equal(envelope))
	})

	It("are rejected unless they contain exactly one message", func() {
		_, err := Decode(Encode(Envelope{From: "a"}))
		Expect(kindOf(err)).To(Equal(ErrorMessageCount))
		_, err = Decode(Encode(Envelope{Relay: &relaytree.Message{}, Control: &protocol.Message{}}))
		Expect(kindOf(err)).To(Equal(ErrorMessageCount))
	})

	It("are rejected without the identifier of the schema, and when too large", func() {
		_, err := Decode([]byte("GET / HTTP/1.1\r\n"))
		Expect(kindOf(err)).To(Equal(ErrorForeign))
		_, err = Decode(nil)
		Expect(kindOf(err)).To(Equal(ErrorForeign))
		_, err = Decode(make([]byte, MaxFrameBytes+1))
		Expect(kindOf(err)).To(Equal(ErrorTooLarge))
	})

	It("never make Decode panic when truncated at any byte or with any bit flipped", func() {
		for _, envelope := range filledEnvelopes() {
			frame := Encode(envelope)
			for position := range frame {
				_, _ = Decode(frame[:position])
				for bit := range 8 {
					damaged := append([]byte(nil), frame...)
					damaged[position] ^= 1 << bit
					_, _ = Decode(damaged)
				}
			}
		}
	})

	It("are decoded in bounded memory when many offsets refer to one large value", func() {
		const members, memberBytes = 10_000, 1 << 20
		builder := flatbuffers.NewBuilder(0)
		large := builder.CreateByteString(make([]byte, memberBytes))
		fb.MembershipStartTextsVector(builder, members)
		for range members {
			builder.PrependUOffsetT(large)
		}
		texts := builder.EndVector(members)
		fb.MembershipStart(builder)
		fb.MembershipAddTexts(builder, texts)
		message := fb.MembershipEnd(builder)
		fb.EnvelopeStart(builder)
		fb.EnvelopeAddMembership(builder, message)
		builder.FinishWithFileIdentifier(fb.EnvelopeEnd(builder), []byte(identifier))
		frame := builder.FinishedBytes()

		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := Decode(frame)
		runtime.ReadMemStats(&after)
		Expect(kindOf(err)).To(Equal(ErrorMalformed))
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 4*len(frame)))
	})
})
