package driver

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// StorageStatus is the size of control state on a node and the limits of that size, in bytes.
type StorageStatus struct {
	// Disk is the size of the files of all shards, and DiskLimit the capacity of the disk; 0
	// if it is not known.
	Disk, DiskLimit int64
	// Configuration is the size of the configuration in force with its source document, and
	// ConfigurationLimit the size above which a configuration is refused.
	Configuration, ConfigurationLimit int64
	// DiskFull means that the disk refuses writes for lack of space.
	DiskFull bool
}

// warnPercent is the percentage of a limit at which operators are warned.
const warnPercent = 75

// nearLimit reports whether a size is at least warnPercent of its limit. It is false if the
// limit is not known.
func nearLimit(bytes, limit int64) bool { return limit > 0 && bytes >= limit/100*warnPercent }

// storageMonitor measures control state, and warns when its size comes near a limit. The
// control goroutine calls update, and the shard writers keep diskFullWriters up to date;
// Status may be called concurrently.
type storageMonitor struct {
	storage            map[uint32]Storage
	log                *logrus.Entry
	diskLimit          int64
	configurationLimit int64
	configuration      atomic.Int64
	// diskFullWriters counts the shards whose outstanding write the disk refuses for lack of
	// space.
	diskFullWriters atomic.Int64

	// revision is the revision of the configuration that was measured last. diskNearLimit and
	// configurationNearLimit record what was near its limit at the last update. All three
	// belong to the control goroutine.
	revision                              uint64
	diskNearLimit, configurationNearLimit bool
}

func newStorageMonitor(machine *control.Machine, storage map[uint32]Storage, log *logrus.Entry) *storageMonitor {
	limits := machine.StorageLimits()
	return &storageMonitor{storage: storage, log: log, diskLimit: limits.Disk, configurationLimit: int64(limits.Command)}
}

// Status returns the present size of control state and its limits.
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

// update measures the configuration if its revision has changed, and logs one warning each
// time that a size comes near its limit. It does nothing on a node without storage.
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
		m.warn(status, "control state uses most of the disk; give the node a larger disk")
	}
	m.diskNearLimit = diskNearLimit
	configurationNearLimit := nearLimit(status.Configuration, status.ConfigurationLimit)
	if configurationNearLimit && !m.configurationNearLimit {
		m.warn(status, "the configuration is near its size limit, above which it is refused; reduce it, or give the nodes with disks more disk space and memory")
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
