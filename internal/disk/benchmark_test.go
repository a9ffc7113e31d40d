package disk_test

import (
	"testing"

	"github.com/ridgeswitch/ridgeswitch/internal/disk"
)

// recordBytes is about the size of a record that one changed key leaves.
const recordBytes = 512

// BenchmarkSyncedAppend measures one appended record, durable on return.
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
