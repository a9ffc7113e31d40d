package disk

import "fmt"

// LockedError means that another process uses a data folder.
type LockedError struct {
	Folder string
}

// Error returns the fault and its remedy.
func (e *LockedError) Error() string {
	return fmt.Sprintf("disk: data folder %s is in use; stop the other process or give this one its own folder", e.Folder)
}

// NameError means that a name cannot be that of a file in a data folder.
type NameError struct {
	Name string
}

// Error returns the fault and its remedy.
func (e *NameError) Error() string {
	return fmt.Sprintf("disk: %q is not a valid file name; use a name without folders that is not %q and does not end in %q", e.Name, lockName, temporarySuffix)
}
