package metrics

import "github.com/prometheus/client_golang/prometheus"

// storageCollector collects the size of control state and the limits of that size.
type storageCollector struct {
	metricSet
	control                           Control
	disk, diskLimit, diskFull         metric
	configuration, configurationLimit metric
}

func newStorageCollector(control Control) *storageCollector {
	c := &storageCollector{control: control}
	c.disk = c.gauge("storage", "disk_bytes", "Bytes that the files of all shards take.")
	c.diskLimit = c.gauge("storage", "disk_limit_bytes", "Size of the disk; 0 where it is not known.")
	c.diskFull = c.gauge("storage", "disk_full", "1 while the disk refuses a write of control state for lack of space.")
	c.configuration = c.gauge("configuration", "bytes", "Size of the configuration in force with its document.")
	c.configurationLimit = c.gauge("configuration", "limit_bytes", "Size above which a configuration with its document is refused.")
	return c
}

// Collect implements prometheus.Collector.
func (c *storageCollector) Collect(into chan<- prometheus.Metric) {
	status := c.control.Storage()
	c.disk.send(into, float64(status.Disk))
	c.diskLimit.send(into, float64(status.DiskLimit))
	c.diskFull.send(into, boolValue(status.DiskFull))
	c.configuration.send(into, float64(status.Configuration))
	c.configurationLimit.send(into, float64(status.ConfigurationLimit))
}
