package replication

// inFlightAppends are the appends that a follower was sent and has not acknowledged, in the
// order of their entries.
type inFlightAppends struct {
	appends []inFlightAppend
	// bytes is the size of their commands together.
	bytes int
}

// inFlightAppend is an append by the index of its last entry and the size of its commands in
// bytes.
type inFlightAppend struct {
	last  uint64
	bytes int
}

// add records an append that was sent after all others.
func (f *inFlightAppends) add(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	size := commandBytes(entries)
	f.appends = append(f.appends, inFlightAppend{last: entries[len(entries)-1].Index, bytes: size})
	f.bytes += size
}

// acknowledged drops the appends whose entries the follower has, up to an index.
func (f *inFlightAppends) acknowledged(index uint64) {
	for len(f.appends) > 0 && f.appends[0].last <= index {
		f.bytes -= f.appends[0].bytes
		f.appends = f.appends[1:]
	}
}

// commandBytes is the size of the commands of entries together.
func commandBytes(entries []Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Command)
	}
	return size
}
