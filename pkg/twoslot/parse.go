package twoslot

import "bytes"

// slot is the content of an intact slot file.
type slot struct {
	generation uint64
	payload    []byte
	// records were salvaged from the torn log of the previous generation.
	records [][]byte
}

// parseSlot parses a slot file. It returns false if the file is truncated or damaged.
func parseSlot(data []byte) (slot, bool) {
	generation, length, ok := readHeader(data, slotMagic)
	if !ok || uint64(len(data)) != headerBytes+length+checksumBytes || length < numberBytes {
		return slot{}, false
	}
	body := data[headerBytes : headerBytes+length]
	if generationChecksum(generation, body) != byteOrder.Uint32(data[headerBytes+length:]) {
		return slot{}, false
	}
	payloadBytes := byteOrder.Uint64(body)
	rest := body[numberBytes:]
	if payloadBytes > uint64(len(rest)) {
		return slot{}, false
	}
	parsed := slot{generation: generation, payload: rest[:payloadBytes:payloadBytes]}
	records, used, end := parseFrames(rest[payloadBytes:], generation)
	parsed.records = records
	return parsed, end == endClean && used == len(rest[payloadBytes:])
}

// framesEnd describes how a sequence of frames ends.
type framesEnd uint8

const (
	// endClean sequences end after an intact frame.
	endClean framesEnd = iota + 1
	// endTorn sequences end in a frame that a crash interrupted.
	endTorn
	// endDamaged sequences contain bytes that a crash cannot leave.
	endDamaged
)

// parseFrames returns the records of the intact frames at the start of data, the size of
// these frames in bytes, and how the sequence of frames ends.
func parseFrames(data []byte, generation uint64) (records [][]byte, used int, end framesEnd) {
	for used < len(data) {
		content, size, kind := parseFrame(data[used:], generation)
		if kind != endClean {
			return records, used, kind
		}
		found, ok := parseRecords(content)
		if !ok {
			return records, used, endDamaged
		}
		records = append(records, found...)
		used += size
	}
	return records, used, endClean
}

// parseFrame returns the content of the frame at the start of data and the size of the
// frame in bytes. A frame that is not intact is torn if a crash can have left it in this
// state: either the file ends within the frame, or the disk extended the file with zeros and
// did not write all of the frame. In the latter case the last byte of the frame and all bytes
// of the file after it are zeros; if the start of the frame is not intact, so that its length
// is unknown, all bytes after the start are.
func parseFrame(data []byte, generation uint64) (content []byte, size int, kind framesEnd) {
	if len(data) < frameStartBytes {
		return nil, 0, endTorn
	}
	length := byteOrder.Uint32(data)
	if generationChecksum(generation, data[:4]) != byteOrder.Uint32(data[4:]) {
		return nil, 0, tornIf(allZero(data[frameStartBytes:]))
	}
	size = frameStartBytes + int(length) + frameFinishBytes
	if size > len(data) {
		return nil, 0, endTorn
	}
	content = data[frameStartBytes : frameStartBytes+int(length)]
	stored := byteOrder.Uint32(data[frameStartBytes+int(length):])
	last := data[size-1]
	if last == frameEnd && generationChecksum(generation, content) == stored {
		return content, size, endClean
	}
	return nil, 0, tornIf(last == 0 && allZero(data[size:]))
}

func tornIf(torn bool) framesEnd {
	if torn {
		return endTorn
	}
	return endDamaged
}

func parseRecords(content []byte) (records [][]byte, ok bool) {
	for len(content) > 0 {
		if len(content) < recordStartBytes {
			return nil, false
		}
		length := uint64(byteOrder.Uint32(content))
		content = content[recordStartBytes:]
		if length > uint64(len(content)) {
			return nil, false
		}
		records = append(records, content[:length:length])
		content = content[length:]
	}
	return records, true
}

// tornStart reports whether data can result from a crash during the write of a file that
// begins with expected: data is then a prefix of expected, followed only by zeros.
func tornStart(data, expected []byte) bool {
	if len(data) > len(expected) && !allZero(data[len(expected):]) {
		return false
	}
	written := bytes.TrimRight(data, "\x00")
	return len(written) <= len(expected) && bytes.HasPrefix(expected, written)
}

func allZero(data []byte) bool {
	for _, value := range data {
		if value != 0 {
			return false
		}
	}
	return true
}
