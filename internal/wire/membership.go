package wire

import (
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

// packMembership leaves From out when it holds no more than the sender's ID,
// which the envelope tells already.
func packMembership(message *membership.Message, sender member.ID) *fb.MembershipT {
	if message == nil {
		return nil
	}
	var from *fb.InfoT
	if message.From != (member.Info{ID: sender}) {
		from = packInfo(message.From)
	}
	return &fb.MembershipT{
		Type:              byte(message.Type),
		Sequence:          message.Sequence,
		Incarnation:       uint64(message.Incarnation),
		From:              from,
		MonitorSetVersion: message.MonitorSetVersion,
		Monitors:          packMemberIDs(message.Monitors),
		Digest:            message.Digest,
		Full:              message.Full,
		Records:           packRecords(message.Records),
		Boot:              uint64(message.Boot),
		SilencedVersion:   message.SilencedVersion,
	}
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

func packRecords(records []membership.Record) []*fb.RecordT {
	if len(records) == 0 {
		return nil
	}
	packed := make([]*fb.RecordT, len(records))
	for i, record := range records {
		packed[i] = &fb.RecordT{
			Info:              packInfo(record.Info),
			State:             byte(record.State),
			MonitorSetVersion: record.MonitorSetVersion,
			Monitors:          packMemberIDs(record.Monitors),
			Silences:          packSilences(record.Silences),
			Version:           record.Version,
			MonitorBoots:      packIncarnations(record.MonitorBoots),
		}
	}
	return packed
}

func packSilences(silences []membership.Silence) []*fb.SilenceT {
	if len(silences) == 0 {
		return nil
	}
	packed := make([]*fb.SilenceT, len(silences))
	for i, silence := range silences {
		packed[i] = &fb.SilenceT{
			Monitor:           string(silence.Monitor),
			Incarnation:       uint64(silence.Incarnation),
			MonitorSetVersion: silence.MonitorSetVersion,
			MonitorBoot:       uint64(silence.MonitorBoot),
		}
	}
	return packed
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
		Monitors:          r.memberIDs(table.MonitorsLength(), table.Monitors),
		Digest:            table.Digest(),
		Full:              table.Full(),
		Records:           r.records(table),
		Boot:              member.Incarnation(table.Boot()),
		SilencedVersion:   table.SilencedVersion(),
	}
}

func (r *reader) info(table *fb.Info) member.Info {
	if table == nil {
		return member.Info{}
	}
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

func (r *reader) records(table *fb.Membership) []membership.Record {
	length := r.elements(table.RecordsLength(), leastRecordBytes)
	if length == 0 {
		return nil
	}
	records := make([]membership.Record, length)
	var stored fb.Record
	for i := range records {
		table.Records(&stored, i)
		records[i] = membership.Record{
			Info:              r.info(stored.Info(nil)),
			State:             membership.State(stored.State()),
			MonitorSetVersion: stored.MonitorSetVersion(),
			Monitors:          r.memberIDs(stored.MonitorsLength(), stored.Monitors),
			Silences:          r.silences(&stored),
			Version:           stored.Version(),
			MonitorBoots:      r.incarnations(stored.MonitorBootsLength(), stored.MonitorBoots),
		}
	}
	return records
}

func (r *reader) silences(table *fb.Record) []membership.Silence {
	length := r.elements(table.SilencesLength(), leastSilenceBytes)
	if length == 0 {
		return nil
	}
	silences := make([]membership.Silence, length)
	var stored fb.Silence
	for i := range silences {
		table.Silences(&stored, i)
		silences[i] = membership.Silence{
			Monitor:           member.ID(r.text(stored.Monitor())),
			Incarnation:       member.Incarnation(stored.Incarnation()),
			MonitorSetVersion: stored.MonitorSetVersion(),
			MonitorBoot:       member.Incarnation(stored.MonitorBoot()),
		}
	}
	return silences
}
