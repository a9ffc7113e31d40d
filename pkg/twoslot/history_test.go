package twoslot_test

import (
	"fmt"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

const storeName = "shard"

// step is one write to a store: an append of records, or a checkpoint.
type step struct {
	payload string
	records []string
}

// history is long enough for each slot to be written more than once.
var history = []step{
	{records: []string{"a"}},
	{records: []string{"bb", "", "ccc"}},
	{payload: "abc"},
	{records: []string{"d\x00\x00"}},
	{payload: "abcd"},
	{records: []string{"e"}},
	{records: []string{"f"}},
	{payload: "abcdef"},
	{payload: "abcdef!"},
	{records: []string{"g", "h"}},
}

func (s step) run(store *twoslot.Store) error {
	if s.payload != "" {
		return store.Checkpoint([]byte(s.payload))
	}
	return store.Append(bytesOf(s.records)...)
}

func bytesOf(records []string) [][]byte {
	var converted [][]byte
	for _, record := range records {
		converted = append(converted, []byte(record))
	}
	return converted
}

// view is the contents of a store in a form that can be compared and printed.
type view struct {
	payload string
	records []string
}

func viewOf(contents twoslot.Contents) view {
	seen := view{payload: string(contents.Payload)}
	for _, record := range contents.Records {
		seen.records = append(seen.records, string(record))
	}
	return seen
}

func (v view) after(s step) view {
	if s.payload != "" {
		return view{payload: s.payload}
	}
	return view{payload: v.payload, records: slices.Concat(v.records, s.records)}
}

func (v view) String() string {
	return fmt.Sprintf("%q %q", v.payload, v.records)
}

// outcome is the contents that the disk may have after a run of steps: those that were
// acknowledged, or those with the step that was in progress as well.
type outcome struct {
	acknowledged view
	inProgress   view
}

func (o outcome) allows(seen view) bool {
	return seen.String() == o.acknowledged.String() || seen.String() == o.inProgress.String()
}

// runHistory opens the store on the disk and runs the steps until one fails.
func runHistory(disk *memdisk.Disk, steps []step) outcome {
	var result outcome
	store, _, err := twoslot.Open(disk, storeName)
	if err != nil {
		return result
	}
	for _, next := range steps {
		result.inProgress = result.acknowledged.after(next)
		if next.run(store) != nil {
			return result
		}
		result.acknowledged = result.inProgress
	}
	return result
}

// positionsOf returns the number of points at which a run of the steps can crash.
func positionsOf(steps []step) int {
	disk := memdisk.New()
	runHistory(disk, steps)
	return disk.Stats().Positions
}
