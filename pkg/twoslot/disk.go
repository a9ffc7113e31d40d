package twoslot

// Disk holds named files. A Store writes only through it, one call at a time.
// A crash within WriteFile leaves the former file or a start of the new one,
// and a crash within Append a start of what was to be added; either start may
// be followed by zeros up to its full length.
type Disk interface {
	// ReadFile returns the content of a file, or an error that matches
	// fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// WriteFile replaces a file. The content is durable when it returns nil.
	// When it returns an error that matches ErrDiskFull, the file is as it
	// was before.
	WriteFile(name string, data []byte) error
	// Append adds to the end of a file, which it creates if there is none.
	// The same holds for durability and for a full disk.
	Append(name string, data []byte) error
}
