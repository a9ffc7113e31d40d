package wire

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

// packMembership omits From when it contains only the sender's ID, which the envelope
// contains as well.
func packMembership(message *membership.Message, sender member.ID) *fb.MembershipT {
	if message == nil {
		return nil
	}
	var from *fb.InfoT
	if message.From != (member.Info{ID: sender}) {
		from = packInfo(message.From)
	}
	rows, texts := packRows(message.Records)
	return &fb.MembershipT{
		Type:              byte(message.Type),
		Sequence:          message.Sequence,
		Incarnation:       uint64(message.Incarnation),
		From:              from,
		MonitorSetVersion: message.MonitorSetVersion,
		Digest:            message.Digest,
		Boot:              uint64(message.Boot),
		SilencedVersion:   message.TimedOutVersion,
		Texts:             texts,
		Rows:              rows,
		Buckets:           message.Buckets,
		Covered:           message.CoveredBuckets,
		Summary:           packSummary(message.Summary),
		Wanted:            message.Requested,
		Held:              message.Deferred,
		Settled:           message.Stable,
	}
}

func packSummary(summary []membership.RecordDigest) []*fb.MemberDigestT {
	if len(summary) == 0 {
		return nil
	}
	packed := make([]*fb.MemberDigestT, len(summary))
	for i, digest := range summary {
		packed[i] = &fb.MemberDigestT{Member: digest.Member, Digest: digest.Digest}
	}
	return packed
}

func packInfo(info member.Info) *fb.InfoT {
	return &fb.InfoT{
		Id:             string(info.ID),
		Address:        info.Address,
		TrafficAddress: info.TrafficAddress,
		ControlAddress: info.ControlAddress,
		Zone:           info.Zone,
		HoldsState:     info.HoldsState,
		Incarnation:    uint64(info.Incarnation),
	}
}

func (r *reader) membership(table *fb.Membership, sender member.ID) *membership.Message {
	if table == nil {
		return nil
	}
	from := member.Info{ID: sender}
	if stored := table.From(nil); stored != nil {
		from = r.info(stored)
	}
	return &membership.Message{
		Type:              membership.MessageType(table.Type()),
		Sequence:          table.Sequence(),
		Incarnation:       member.Incarnation(table.Incarnation()),
		From:              from,
		MonitorSetVersion: table.MonitorSetVersion(),
		Digest:            table.Digest(),
		Records:           r.records(table),
		Boot:              member.Incarnation(table.Boot()),
		TimedOutVersion:   table.SilencedVersion(),
		Buckets:           readVectorOrNil(r, table.BucketsLength(), flatbuffers.SizeUint32, table.Buckets),
		CoveredBuckets:    table.Covered(),
		Summary:           r.summary(table),
		Requested:         readVectorOrNil(r, table.WantedLength(), flatbuffers.SizeUint32, table.Wanted),
		Deferred:          table.Held(),
		Stable:            table.Settled(),
	}
}

func (r *reader) summary(table *fb.Membership) []membership.RecordDigest {
	var stored fb.MemberDigest
	return readVectorOrNil(r, table.SummaryLength(), memberDigestBytes, func(i int) membership.RecordDigest {
		table.Summary(&stored, i)
		return membership.RecordDigest{Member: stored.Member(), Digest: stored.Digest()}
	})
}

func (r *reader) info(table *fb.Info) member.Info {
	return member.Info{
		ID:             member.ID(r.text(table.Id())),
		Address:        r.text(table.Address()),
		TrafficAddress: r.text(table.TrafficAddress()),
		ControlAddress: r.text(table.ControlAddress()),
		Zone:           r.text(table.Zone()),
		HoldsState:     table.HoldsState(),
		Incarnation:    member.Incarnation(table.Incarnation()),
	}
}
