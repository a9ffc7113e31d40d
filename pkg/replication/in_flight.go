package replication

// inFlightAppends are the appends that were sent to a follower and are not acknowledged, in
// the order of their entries.
type inFlightAppends struct {
	appends []inFlightAppend
	// bytes is the total size of their commands.
	bytes int
}

// inFlightAppend is the index of an append's last entry and the size of its commands in
// bytes.
type inFlightAppend struct {
	last  uint64
	bytes int
}

// add records an append that is sent after all others.
func (f *inFlightAppends) add(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	size := commandBytes(entries)
	f.appends = append(f.appends, inFlightAppend{last: entries[len(entries)-1].Index, bytes: size})
	f.bytes += size
}

// acknowledged removes the appends whose entries are all at or before index, which the
// follower has acknowledged.
func (f *inFlightAppends) acknowledged(index uint64) {
	for len(f.appends) > 0 && f.appends[0].last <= index {
		f.bytes -= f.appends[0].bytes
		f.appends = f.appends[1:]
	}
}

// commandBytes returns the total size of the commands of the entries.
func commandBytes(entries []Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Command)
	}
	return size
}
