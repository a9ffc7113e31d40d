package twoslot

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// The file formats. All numbers are little endian.
//
//	slot file  = header(slotMagic, generation, length of body) body crc(body)
//	body       = payload length (8) payload frame...
//	log file   = header(logMagic, generation, 0) frame...
//	header     = magic (4) generation (8) length (8) crc of these (4)
//	frame      = length of content (4) crc of generation and length (4)
//	             content, crc of generation and content (4) frameEnd (1)
//	content    = (record length (4) record)...
const (
	slotMagic = 0x31534c54
	logMagic  = 0x31474c54

	numberBytes      = 8
	checksumBytes    = 4
	headerBytes      = 4 + 2*numberBytes + checksumBytes
	frameStartBytes  = 4 + checksumBytes
	frameFinishBytes = checksumBytes + 1
	recordStartBytes = 4
	maxFrameContent  = math.MaxInt32

	// frameEnd is not zero, so that a frame whose last bytes the disk never wrote, and
	// which therefore read as zeros, can be distinguished from a frame that was damaged
	// after it was written.
	frameEnd = 0xa5
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	byteOrder  = binary.LittleEndian
)

func checksum(data []byte) uint32 {
	return crc32.Checksum(data, castagnoli)
}

// generationChecksum returns a checksum of the generation and the data. It covers the
// generation so that data of an older generation is never accepted as data of this one.
func generationChecksum(generation uint64, data []byte) uint32 {
	var seed [numberBytes]byte
	byteOrder.PutUint64(seed[:], generation)
	return crc32.Update(checksum(seed[:]), castagnoli, data)
}

func appendHeader(buffer []byte, magic uint32, generation, length uint64) []byte {
	start := len(buffer)
	buffer = byteOrder.AppendUint32(buffer, magic)
	buffer = byteOrder.AppendUint64(buffer, generation)
	buffer = byteOrder.AppendUint64(buffer, length)
	return byteOrder.AppendUint32(buffer, checksum(buffer[start:]))
}

// readHeader returns false if data does not start with an intact header with that magic
// number.
func readHeader(data []byte, magic uint32) (generation, length uint64, ok bool) {
	if len(data) < headerBytes || byteOrder.Uint32(data) != magic {
		return 0, 0, false
	}
	summed := data[:headerBytes-checksumBytes]
	if checksum(summed) != byteOrder.Uint32(data[len(summed):]) {
		return 0, 0, false
	}
	return byteOrder.Uint64(data[4:]), byteOrder.Uint64(data[4+numberBytes:]), true
}

func logHeader(generation uint64) []byte {
	return appendHeader(nil, logMagic, generation, 0)
}

// appendFrame appends one frame. Its records are read back all or none.
func appendFrame(buffer []byte, generation uint64, records [][]byte) []byte {
	start := len(buffer)
	buffer = byteOrder.AppendUint32(buffer, uint32(contentBytes(records)))
	buffer = byteOrder.AppendUint32(buffer, generationChecksum(generation, buffer[start:]))
	content := len(buffer)
	for _, record := range records {
		buffer = byteOrder.AppendUint32(buffer, uint32(len(record)))
		buffer = append(buffer, record...)
	}
	buffer = byteOrder.AppendUint32(buffer, generationChecksum(generation, buffer[content:]))
	return append(buffer, frameEnd)
}

func contentBytes(records [][]byte) int {
	total := 0
	for _, record := range records {
		total += recordStartBytes + len(record)
	}
	return total
}

func encodeSlot(generation uint64, payload []byte, records [][]byte) []byte {
	bodyBytes := numberBytes + len(payload)
	if len(records) > 0 {
		bodyBytes += frameStartBytes + contentBytes(records) + frameFinishBytes
	}
	buffer := make([]byte, 0, headerBytes+bodyBytes+checksumBytes)
	buffer = appendHeader(buffer, slotMagic, generation, uint64(bodyBytes))
	buffer = byteOrder.AppendUint64(buffer, uint64(len(payload)))
	buffer = append(buffer, payload...)
	if len(records) > 0 {
		buffer = appendFrame(buffer, generation, records)
	}
	return byteOrder.AppendUint32(buffer, generationChecksum(generation, buffer[headerBytes:]))
}
