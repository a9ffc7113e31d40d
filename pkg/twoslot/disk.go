package twoslot

// Disk is a set of named files. A Store writes only through it, one call at a time. A
// crash during WriteFile leaves the previous file or a prefix of the new one, and a crash
// during Append leaves a prefix of the appended data. Zeros may follow either prefix, up to
// the length of the complete data.
type Disk interface {
	// ReadFile returns the content of a file, or an error that matches fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// WriteFile replaces a file. The content is durable when it returns nil. When it
	// returns an error that matches ErrDiskFull, the file is unchanged.
	WriteFile(name string, data []byte) error
	// Append appends to a file, which it creates if there is none. The appended data is
	// durable when it returns nil. When it returns an error that matches ErrDiskFull, the
	// file is unchanged.
	Append(name string, data []byte) error
	// Truncate shortens a file that is longer than size bytes. The shorter file is durable
	// when it returns nil; a crash during the call leaves the previous file or the shorter
	// one. When it returns an error that matches ErrDiskFull, the file is unchanged.
	Truncate(name string, size int) error
}
