package membership

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// bucketCount is the number of key ranges, one for each bit of
	// Message.CoveredBuckets.
	bucketCount = 64
	bucketBits  = 6
	allBuckets  = ^uint64(0)
)

// memberKey returns the hash that identifies a member in summaries. If the keys of two
// members collide, their records are sent more often than necessary.
func memberKey(id member.ID) uint32 { return uint32(ringPosition(id) >> 32) }

// bucketOf returns the key range of a member.
func bucketOf(key uint32) int { return int(key >> (32 - bucketBits)) }

// updateDigest updates the digests for a new or changed record.
func (t *memberTable) updateDigest(e *entry) {
	digest := recordDigest(e.record)
	t.digest += digest - e.digest
	t.buckets[bucketOf(e.key)] += digest - e.digest
	e.digest = digest
}

// removeFromDigest removes a record's digest from the digests of its key range and the table.
func (t *memberTable) removeFromDigest(e *entry) {
	t.digest -= e.digest
	t.buckets[bucketOf(e.key)] -= e.digest
	e.digest = 0
}

// bucketDigests returns the digests of the key ranges, truncated to 32 bits for the wire.
func (t *memberTable) bucketDigests() []uint32 {
	digests := make([]uint32, bucketCount)
	for i, digest := range t.buckets {
		digests[i] = uint32(digest)
	}
	return digests
}

// summarize returns the digest of each record in the covered key ranges.
func (t *memberTable) summarize(coveredBuckets uint64) []RecordDigest {
	summary := make([]RecordDigest, 0, len(t.sortedIDs)*bits.OnesCount64(coveredBuckets)/bucketCount)
	for _, id := range t.sortedIDs {
		if e := t.entries[id]; e.isCovered(coveredBuckets) {
			summary = append(summary, RecordDigest{Member: e.key, Digest: uint32(e.digest)})
		}
	}
	return summary
}

func (e *entry) isCovered(coveredBuckets uint64) bool {
	return coveredBuckets>>bucketOf(e.key)&1 == 1
}

// equalRecords reports whether two records agree in all that the digest covers, and in the
// rest of Info (addresses, zone, HoldsState).
func equalRecords(a, b Record) bool {
	return a.Info == b.Info &&
		a.Version == b.Version &&
		leftRank(a) == leftRank(b) &&
		slices.Equal(a.TimeoutReports, b.TimeoutReports)
}

// recordDigest returns the hash of one record. The digest of a table is the sum of its
// records' digests, so it doesn't depend on the order of the records.
func recordDigest(r Record) uint64 {
	hash := xxhash.New()
	writeString(hash, string(r.Info.ID))
	writeNumber(hash, uint64(r.Info.Incarnation))
	writeNumber(hash, r.Version)
	writeNumber(hash, uint64(leftRank(r)))
	reports := slices.SortedFunc(slices.Values(r.TimeoutReports), compareTimeoutReports)
	for _, report := range reports {
		writeString(hash, string(report.Monitor))
		writeNumber(hash, uint64(report.MonitorBoot))
		writeNumber(hash, uint64(report.Incarnation))
		writeNumber(hash, report.MonitorSetVersion)
	}
	return hash.Sum64()
}

func writeString(hash *xxhash.Digest, text string) {
	writeNumber(hash, uint64(len(text)))
	// xxhash never returns an error.
	_, _ = hash.WriteString(text)
}

func writeNumber(hash *xxhash.Digest, number uint64) {
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(number >> (8 * i))
	}
	_, _ = hash.Write(bytes[:])
}
