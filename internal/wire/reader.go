package wire

import flatbuffers "github.com/google/flatbuffers/go"

// The minimum sizes, in bytes, of the elements of vectors in a well-formed frame: the offset
// of the element in the vector, if it has one, and what the builder always stores for it.
const (
	incarnationBytes  = flatbuffers.SizeUint64
	offsetBytes       = flatbuffers.SizeUOffsetT
	minStringBytes    = offsetBytes + flatbuffers.SizeUOffsetT // length
	minTableBytes     = offsetBytes + flatbuffers.SizeSOffsetT // vtable
	minSectionBytes   = minTableBytes + minStringBytes         // name
	memberDigestBytes = 2 * flatbuffers.SizeUint32
	textIndexBytes    = flatbuffers.SizeUint16
	endpointBytes     = flatbuffers.SizeUint64
	bootBytes         = flatbuffers.SizeInt32 // see packBoots
)

// reader copies values out of a frame. A builder stores each value once, so that the
// values of a well-formed frame together are no larger than the frame. A hostile frame
// can refer to the same bytes many times; the budget bounds what is copied.
type reader struct {
	// budget is how many bytes of values may still be read.
	budget int
	// exhausted means that a value exceeded the budget, or that a member row was invalid.
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
// returns the length of the vector, or 0 if the budget is too small for it.
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

// texts copies a vector of strings; an empty one is nil.
func (r *reader) texts(length int, at func(int) []byte) []string {
	return readVectorOrNil(r, length, minStringBytes, func(i int) string { return r.text(at(i)) })
}

// readVector copies a vector of the given length, whose elements take at least
// minElementBytes each in the frame. It calls element for each index in turn. The result
// is never nil; it is empty if the budget is too small for the vector.
//
// The callback takes an index instead of a table to read into: a table that readVector
// passed to the callback would escape to the heap and be allocated for each vector.
func readVector[T any](r *reader, length, minElementBytes int, element func(index int) T) []T {
	elements := make([]T, r.vectorLength(length, minElementBytes))
	for i := range elements {
		elements[i] = element(i)
	}
	return elements
}

// readVectorOrNil is readVector, but an empty vector is nil.
func readVectorOrNil[T any](r *reader, length, minElementBytes int, element func(index int) T) []T {
	elements := readVector(r, length, minElementBytes, element)
	if len(elements) == 0 {
		return nil
	}
	return elements
}
