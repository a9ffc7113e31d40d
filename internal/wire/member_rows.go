package wire

import (
	"math"
	"net"
	"strconv"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

// Records of members are encoded as rows that refer to a table of texts in the same
// message: in a message with all records, several rows name each member, and the
// addresses of one member usually differ only in their ports.

// maxTexts bounds the number of texts that the rows of one message may refer to: an index
// is a uint16, and 0 means no text. The first record whose texts might exceed the bound
// and all records after it are left out of the message; the receiver gets them when the
// membership protocol compares the digests of tables.
const maxTexts = math.MaxUint16

// maxBaseBytes bounds the length of an address whose host joinPort combines with another
// port; no IP address with a zone and a port is longer.
const maxBaseBytes = 64

// rowPacker packs the rows of one message.
type rowPacker struct {
	table *textTable
}

// packRows returns the rows of records and their texts.
func packRows(records []membership.Record) ([]*fb.MemberRowT, []string) {
	if len(records) == 0 {
		return nil, nil
	}
	packer := rowPacker{table: newTextTable()}
	rows := make([]*fb.MemberRowT, 0, len(records))
	for _, record := range records {
		if len(packer.table.texts)+maxTextsOf(record) > maxTexts {
			break
		}
		rows = append(rows, packer.row(record))
	}
	return rows, packer.table.texts
}

// maxTextsOf returns the largest number of texts that a record adds.
func maxTextsOf(record membership.Record) int {
	const textsOfInfo = 5 // ID, zone and three addresses
	return textsOfInfo + len(record.Monitors) + len(record.TimeoutReports)
}

// text returns the index by which rows refer to a text, which is 0 for the empty text.
func (p rowPacker) text(text string) uint16 {
	if text == "" {
		return 0
	}
	return uint16(p.table.index(text)) + 1
}

func (p rowPacker) row(record membership.Record) *fb.MemberRowT {
	info := record.Info
	row := &fb.MemberRowT{
		Incarnation:       uint64(info.Incarnation),
		Version:           record.Version,
		MonitorSetVersion: record.MonitorSetVersion,
		Id:                p.text(string(info.ID)),
		Address:           p.text(info.Address),
		Zone:              p.text(info.Zone),
		State:             byte(record.State),
		HoldsState:        info.HoldsState,
	}
	row.TrafficPort, row.TrafficAddress = p.port(info.TrafficAddress, info.Address)
	row.ControlPort, row.ControlAddress = p.port(info.ControlAddress, info.Address)
	for _, monitor := range record.Monitors {
		row.Monitors = append(row.Monitors, p.text(string(monitor)))
	}
	row.Boots, row.FarBoots = packBoots(record.MonitorBoots, info.Incarnation)
	for _, report := range record.TimeoutReports {
		row.Silences = append(row.Silences, &fb.SilenceRowT{
			Monitor:           p.text(string(report.Monitor)),
			Incarnation:       uint64(report.Incarnation),
			MonitorSetVersion: report.MonitorSetVersion,
			MonitorBoot:       uint64(report.MonitorBoot),
		})
	}
	return row
}

// port returns the port of address if its host is that of base, and otherwise the text
// index of the complete address. The other result is 0.
func (p rowPacker) port(address, base string) (port, addressIndex uint16) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return 0, p.text(address)
	}
	number, err := strconv.ParseUint(text, 10, 16)
	baseHost, _, baseErr := net.SplitHostPort(base)
	// The receiver rebuilds the address from base and the port, and must get the same
	// text.
	same := err == nil && baseErr == nil && number > 0 && host == baseHost && len(base) <= maxBaseBytes
	if !same || joinPort(base, uint16(number)) != address {
		return 0, p.text(address)
	}
	return uint16(number), 0
}

// joinPort returns the address with the host of base and the given port, or "" if base is
// not a host and port.
func joinPort(base string, port uint16) string {
	host, _, err := net.SplitHostPort(base)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.FormatUint(uint64(port), 10))
}

// packBoots returns the incarnations with which the processes of monitors started: as
// differences from base, or all of them in full if a difference does not fit into an int32.
func packBoots(boots []member.Incarnation, base member.Incarnation) (near []int32, far []uint64) {
	for _, boot := range boots {
		difference := int64(boot - base)
		if difference < math.MinInt32 || difference > math.MaxInt32 {
			return nil, lo.Map(boots, func(boot member.Incarnation, _ int) uint64 { return uint64(boot) })
		}
		near = append(near, int32(difference))
	}
	return near, nil
}

// rowReader reads the rows of one message.
type rowReader struct {
	*reader
	texts []string
}

func (r *reader) records(table *fb.Membership) []membership.Record {
	texts := r.texts(table.TextsLength(), table.Texts)
	rows := rowReader{reader: r, texts: texts}
	var stored fb.MemberRow
	return readVectorOrNil(r, table.RowsLength(), minTableBytes, func(i int) membership.Record {
		table.Rows(&stored, i)
		return rows.record(&stored)
	})
}

// sharedText returns the text with an index. Rows that refer to the same text share its
// memory.
func (r rowReader) sharedText(index uint16) string {
	if index == 0 {
		return ""
	}
	if int(index) > len(r.texts) {
		r.exhausted = true
		return ""
	}
	return r.texts[index-1]
}

func (r rowReader) record(row *fb.MemberRow) membership.Record {
	address := r.sharedText(row.Address())
	return membership.Record{
		Info: member.Info{
			ID:             member.ID(r.sharedText(row.Id())),
			Address:        address,
			TrafficAddress: r.address(row.TrafficPort(), row.TrafficAddress(), address),
			ControlAddress: r.address(row.ControlPort(), row.ControlAddress(), address),
			Zone:           r.sharedText(row.Zone()),
			HoldsState:     row.HoldsState(),
			Incarnation:    member.Incarnation(row.Incarnation()),
		},
		State:             membership.State(row.State()),
		MonitorSetVersion: row.MonitorSetVersion(),
		Monitors:          r.monitors(row),
		MonitorBoots:      r.boots(row),
		TimeoutReports:    r.timeoutReports(row),
		Version:           row.Version(),
	}
}

// address is the inverse of rowPacker.port. Unlike a shared text, a joined address is
// allocated, so it counts against the budget of the reader.
func (r rowReader) address(port, addressIndex uint16, base string) string {
	if port == 0 {
		return r.sharedText(addressIndex)
	}
	if len(base) > maxBaseBytes || !r.spend(minTableBytes) {
		r.exhausted = true
		return ""
	}
	return joinPort(base, port)
}

func (r rowReader) monitors(row *fb.MemberRow) []member.ID {
	return readVectorOrNil(r.reader, row.MonitorsLength(), textIndexBytes, func(i int) member.ID {
		return member.ID(r.sharedText(row.Monitors(i)))
	})
}

// boots is the inverse of packBoots.
func (r rowReader) boots(row *fb.MemberRow) []member.Incarnation {
	if row.FarBootsLength() > 0 {
		return readVectorOrNil(r.reader, row.FarBootsLength(), incarnationBytes, func(i int) member.Incarnation {
			return member.Incarnation(row.FarBoots(i))
		})
	}
	return readVectorOrNil(r.reader, row.BootsLength(), bootBytes, func(i int) member.Incarnation {
		return member.Incarnation(row.Incarnation() + uint64(int64(row.Boots(i))))
	})
}

func (r rowReader) timeoutReports(row *fb.MemberRow) []membership.TimeoutReport {
	var stored fb.SilenceRow
	return readVectorOrNil(r.reader, row.SilencesLength(), minTableBytes, func(i int) membership.TimeoutReport {
		row.Silences(&stored, i)
		return membership.TimeoutReport{
			Monitor:           member.ID(r.sharedText(stored.Monitor())),
			Incarnation:       member.Incarnation(stored.Incarnation()),
			MonitorSetVersion: stored.MonitorSetVersion(),
			MonitorBoot:       member.Incarnation(stored.MonitorBoot()),
		}
	})
}
