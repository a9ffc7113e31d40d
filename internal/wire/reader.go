package wire

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// The minimum bytes of an element of a vector in a well-formed frame: its offset in the
// vector, and what the builder always stores for it.
const (
	incarnationBytes  = flatbuffers.SizeUint64
	offsetBytes       = flatbuffers.SizeUOffsetT
	minStringBytes    = offsetBytes + flatbuffers.SizeUOffsetT // length
	minTableBytes     = offsetBytes + flatbuffers.SizeSOffsetT // vtable
	minSectionBytes   = minTableBytes + minStringBytes         // name
	memberDigestBytes = 2 * flatbuffers.SizeUint32
	textIndexBytes    = flatbuffers.SizeUint16
	endpointBytes     = flatbuffers.SizeUint64
	bootBytes         = flatbuffers.SizeInt32
)

// infoStrings is how many texts the description of a member has.
const infoStrings = 5

// reader copies values out of a frame. A builder stores each value once, so that the
// values of a well-formed frame together are no larger than the frame. A hostile frame
// can refer to the same bytes many times; the budget bounds what is copied.
type reader struct {
	// budget is how many bytes of values may still be read.
	budget    int
	exhausted bool
}

// spend accounts for n bytes and reports whether they may be read.
func (r *reader) spend(n int) bool {
	if n > r.budget {
		r.exhausted = true
		r.budget = 0
		return false
	}
	r.budget -= n
	return true
}

// vectorLength accounts for a vector of elements of at least minElementBytes each. It
// returns its length, or 0 if the frame is too small for that many.
func (r *reader) vectorLength(length, minElementBytes int) int {
	if r.exhausted || !r.spend(length*minElementBytes) {
		return 0
	}
	return length
}

// text copies a string.
func (r *reader) text(stored []byte) string {
	if !r.spend(len(stored)) {
		return ""
	}
	return string(stored)
}

// bytes copies a byte vector. A missing vector is nil, an empty one is not.
func (r *reader) bytes(stored []byte) []byte {
	if stored == nil || !r.spend(len(stored)) {
		return nil
	}
	return append(make([]byte, 0, len(stored)), stored...)
}

// texts copies a vector of strings.
func (r *reader) texts(length int, at func(int) []byte) []string {
	length = r.vectorLength(length, minStringBytes)
	if length == 0 {
		return nil
	}
	texts := make([]string, length)
	for i := range texts {
		texts[i] = r.text(at(i))
	}
	return texts
}

// incarnations copies a vector of incarnations.
func (r *reader) incarnations(length int, at func(int) uint64) []member.Incarnation {
	length = r.vectorLength(length, incarnationBytes)
	if length == 0 {
		return nil
	}
	incarnations := make([]member.Incarnation, length)
	for i := range incarnations {
		incarnations[i] = member.Incarnation(at(i))
	}
	return incarnations
}

// packIncarnations is the inverse of incarnations.
func packIncarnations(incarnations []member.Incarnation) []uint64 {
	if len(incarnations) == 0 {
		return nil
	}
	packed := make([]uint64, len(incarnations))
	for i, incarnation := range incarnations {
		packed[i] = uint64(incarnation)
	}
	return packed
}
