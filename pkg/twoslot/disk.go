package twoslot

// Disk is a set of named files. A Store writes only through it, one call at a time. A
// crash within WriteFile leaves the former file or a prefix of the new one, and a crash
// within Append a prefix of what was to be appended; either prefix may be followed by
// zeros up to its full length.
type Disk interface {
	// ReadFile returns the content of a file, or an error that matches fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// WriteFile replaces a file. The content is durable when it returns nil. When it
	// returns an error that matches ErrDiskFull, the file is unchanged.
	WriteFile(name string, data []byte) error
	// Append appends to a file, which it creates if there is none. Durability and a full
	// disk are as with WriteFile.
	Append(name string, data []byte) error
	// Truncate shortens a file that is longer than size bytes. The shorter file is durable
	// when it returns nil; a crash within it leaves the former file or the shorter one. A
	// full disk is as with WriteFile.
	Truncate(name string, size int) error
}
