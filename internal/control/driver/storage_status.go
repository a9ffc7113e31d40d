package driver

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// StorageStatus is how much of what the machine gives control state takes, in bytes.
type StorageStatus struct {
	// Disk is what the files of all shards take, and DiskLimit the size of the disk; 0
	// where it is not known.
	Disk, DiskLimit int64
	// Configuration is the size of the configuration in force with its document, and
	// ConfigurationLimit the size above which one is refused.
	Configuration, ConfigurationLimit int64
	// DiskFull tells that the disk refuses writes for lack of space.
	DiskFull bool
}

// warnPercent is the share of a limit, in hundredths, from which on operators are warned.
const warnPercent = 75

// nearLimit reports whether a size is near its limit.
func nearLimit(bytes, limit int64) bool { return limit > 0 && bytes >= limit/100*warnPercent }

// storageMonitor measures what control state takes. The control goroutine follows the
// configuration, and the writers report refused writes; Status may be called concurrently.
type storageMonitor struct {
	storage            map[uint32]Storage
	log                *logrus.Entry
	diskLimit          int64
	configurationLimit int64
	configuration      atomic.Int64
	// diskFullWriters counts the shards whose outstanding write the disk refuses.
	diskFullWriters atomic.Int64

	// revision is the configuration that was measured last, and the others tell what was
	// near its limit then. They belong to the control goroutine.
	revision                              uint64
	diskNearLimit, configurationNearLimit bool
}

func newStorageMonitor(machine *control.Machine, storage map[uint32]Storage, log *logrus.Entry) *storageMonitor {
	limits := machine.StorageLimits()
	return &storageMonitor{storage: storage, log: log, diskLimit: limits.Disk, configurationLimit: int64(limits.Command)}
}

// Status returns what control state takes now.
func (m *storageMonitor) Status() StorageStatus {
	status := StorageStatus{
		DiskLimit:          m.diskLimit,
		Configuration:      m.configuration.Load(),
		ConfigurationLimit: m.configurationLimit,
		DiskFull:           m.diskFullWriters.Load() > 0,
	}
	for _, shard := range m.storage {
		status.Disk += shard.DiskBytes()
	}
	return status
}

// update measures the configuration when it has changed, and logs what has come near its
// limit, once each time.
func (m *storageMonitor) update(machine *control.Machine) {
	if len(m.storage) == 0 {
		return
	}
	if revision := machine.Configuration().GetRevision(); revision != m.revision {
		m.revision = revision
		m.configuration.Store(int64(machine.ConfigurationBytes()))
	}
	status := m.Status()
	diskNearLimit := nearLimit(status.Disk, status.DiskLimit)
	if diskNearLimit && !m.diskNearLimit {
		m.warn(status, "control state takes most of the disk; give the node more disk")
	}
	m.diskNearLimit = diskNearLimit
	configurationNearLimit := nearLimit(status.Configuration, status.ConfigurationLimit)
	if configurationNearLimit && !m.configurationNearLimit {
		m.warn(status, "the configuration is near the size above which one is refused; reduce it, or give the nodes with disks more disk and memory")
	}
	m.configurationNearLimit = configurationNearLimit
}

func (m *storageMonitor) warn(status StorageStatus, message string) {
	m.log.WithFields(logrus.Fields{
		"disk_bytes":                status.Disk,
		"disk_limit_bytes":          status.DiskLimit,
		"configuration_bytes":       status.Configuration,
		"configuration_limit_bytes": status.ConfigurationLimit,
	}).Warn(message)
}
