package disk_test

import (
	"testing"

	"github.com/ridgeswitch/ridgeswitch/internal/disk"
)

// recordBytes is the approximate size of the record of a change to one key.
const recordBytes = 512

// BenchmarkSyncedAppend measures the append of one record, which is durable when Append
// returns.
func BenchmarkSyncedAppend(b *testing.B) {
	folder, err := disk.Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = folder.Close() })
	record := make([]byte, recordBytes)
	for b.Loop() {
		if err := folder.Append("log", record); err != nil {
			b.Fatal(err)
		}
	}
}
