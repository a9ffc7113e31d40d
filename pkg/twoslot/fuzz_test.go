package twoslot_test

import (
	"errors"
	"testing"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

// FuzzOpen opens stores of arbitrary files. Either Open returns an error that matches
// ErrCorrupt, or the contents are still found, and records can be appended to them, when the
// store is opened again.
func FuzzOpen(f *testing.F) {
	for steps := range len(history) + 1 {
		disk := memdisk.New()
		runHistory(disk, history[:steps])
		var files [4][]byte
		for i, suffix := range fileSuffixes {
			files[i], _ = disk.ReadFile(storeName + suffix)
		}
		f.Add(files[0], files[1], files[2], files[3])
	}
	f.Fuzz(func(t *testing.T, slot0, slot1, log0, log1 []byte) {
		disk := memdisk.New()
		for i, data := range [][]byte{slot0, slot1, log0, log1} {
			if len(data) > 0 {
				_ = disk.WriteFile(storeName+fileSuffixes[i], data)
			}
		}
		_, contents, err := twoslot.Open(disk.Clone(), storeName)
		if err != nil {
			if !errors.Is(err, twoslot.ErrCorrupt) {
				t.Fatalf("Open returned an error that does not match ErrCorrupt: %v", err)
			}
			return
		}
		found := viewOf(contents)
		if err := checkUsable(disk, outcome{found, found}); err != nil {
			t.Fatal(err)
		}
	})
}

var fileSuffixes = [4]string{".slot0", ".slot1", ".log0", ".log1"}

// FuzzHistory runs the writes and crashes that the fuzzed bytes describe, and checks after
// each crash that the store contains what was acknowledged.
func FuzzHistory(f *testing.F) {
	f.Add([]byte{0x01, 0x42, 0x83, 0x04, 0xc5, 0x10, 0x06, 0x47})
	f.Add([]byte{0xc1, 0x08, 0xc2, 0x30, 0x01, 0xc3, 0x50, 0x41})
	f.Add([]byte{0x41, 0x41, 0xc1, 0x21, 0x41, 0xc1, 0x22, 0x05, 0xc2, 0x1f, 0x41})
	f.Fuzz(func(t *testing.T, script []byte) {
		const maxScriptBytes = 64
		disk := memdisk.New()
		var durable view
		for _, segment := range splitScript(script[:min(len(script), maxScriptBytes)]) {
			store, contents, err := twoslot.Open(disk, storeName)
			if err != nil {
				t.Fatal(err)
			}
			if viewOf(contents).String() != durable.String() {
				t.Fatalf("store contains %v when opened again, want %v", viewOf(contents), durable)
			}
			start := disk.Stats().Positions
			disk.CrashAt(memdisk.Crash{Position: start + segment.crashAfter, Tear: segment.tear})
			allowed := runSteps(store, durable, segment.steps)
			disk.Restart()
			_, contents, err = twoslot.Open(disk, storeName)
			if err != nil {
				t.Fatal(err)
			}
			if durable = viewOf(contents); !allowed.allows(durable) {
				t.Fatalf("store contains %v after a crash, want %v or %v", durable, allowed.acknowledged, allowed.inProgress)
			}
		}
	})
}

// scriptSegment is a sequence of steps, and the crash that ends it.
type scriptSegment struct {
	steps      []step
	tear       memdisk.Tear
	crashAfter int
}

// splitScript splits a script at its crashes. The upper two bits of a byte are an operation:
// append one record, append two, write a checkpoint, or crash. The byte after a crash, times
// positionsPerCrashUnit, is the number of positions from the start of the segment to the
// crash.
func splitScript(script []byte) []scriptSegment {
	const operationShift, sizeMask, positionsPerCrashUnit = 6, 0x3f, 8
	var segments []scriptSegment
	var steps []step
	for i := 0; i < len(script); i++ {
		size := int(script[i] & sizeMask)
		content := string(make([]byte, size)) + string(rune('a'+size%26))
		switch script[i] >> operationShift {
		case 0:
			steps = append(steps, step{records: []string{content}})
		case 1:
			steps = append(steps, step{records: []string{content, ""}})
		case 2:
			steps = append(steps, step{payload: content})
		default:
			i++
			if i == len(script) {
				break
			}
			tears := memdisk.Tears()
			segments = append(segments, scriptSegment{steps, tears[size%len(tears)], int(script[i]) * positionsPerCrashUnit})
			steps = nil
		}
	}
	const never = 1 << 30
	return append(segments, scriptSegment{steps, memdisk.TearShort, never})
}

func runSteps(store *twoslot.Store, durable view, steps []step) outcome {
	result := outcome{durable, durable}
	for _, next := range steps {
		result.inProgress = result.acknowledged.after(next)
		if next.run(store) != nil {
			return result
		}
		result.acknowledged = result.inProgress
	}
	return result
}
