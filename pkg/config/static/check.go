package static

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// logLevels are the valid values of Settings.LogLevel.
var logLevels = []string{"debug", "info", "warning", "error"}

// Check returns all faults of the settings, each an *Error, or none if the settings are
// valid. It uses neither disk nor network.
func (s *Settings) Check() []error {
	check := &checker{}
	check.name("node", s.Node)
	check.name("zone", s.Zone)
	check.name("deployment", s.Deployment)
	check.listeners(s)
	check.seeds(s)
	check.group(s)
	check.disk(s)
	check.address("platform_address", s.PlatformAddress)
	check.numbers(s)
	if !slices.Contains(logLevels, s.LogLevel) {
		check.add(KindInvalid, "log_level", "%q; use one of %s", s.LogLevel, strings.Join(logLevels, ", "))
	}
	return check.faults
}

// checker collects the faults of one call of Check.
type checker struct {
	faults []error
}

func (c *checker) add(kind Kind, field, format string, arguments ...any) {
	c.faults = append(c.faults, &Error{Kind: kind, Field: field, Message: fmt.Sprintf(format, arguments...)})
}

// name checks a required identifier.
func (c *checker) name(field, value string) {
	switch {
	case value == "":
		c.add(KindMissing, field, "is empty; give a name")
	case len(value) > maxNameBytes || !namePattern.MatchString(value):
		c.add(KindInvalid, field, "%q: begin with a letter or digit and use only letters, digits, '.', '_' and '-', at most %d", value, maxNameBytes)
	}
}

// address checks a required IP and port. Nodes pass such addresses to each other unchanged,
// so that an unspecified IP or port is not valid.
func (c *checker) address(field, value string) {
	if value == "" {
		c.add(KindMissing, field, "is empty; give IP and port, such as 127.1.1.1:7100")
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.add(KindInvalid, field, "%q; give an IP that others reach and a port, such as 127.1.1.1:7100", value)
	}
}

// listeners checks the addresses that the node listens on.
func (c *checker) listeners(s *Settings) {
	c.address("internal", s.Internal)
	if s.InternalListen != "" {
		c.address("internal_listen", s.InternalListen)
	}
	c.address("traffic", s.Traffic)
	c.address("control", s.Control)
	c.distinct([]namedValue{
		{"internal", s.Internal},
		{"internal_listen", s.InternalListen},
		{"traffic", s.Traffic},
		{"control", s.Control},
	})
}

// namedValue is the value of a field together with the field's name.
type namedValue struct {
	field, value string
}

// distinct adds a fault for each value that an earlier field has as well. Empty values are
// skipped.
func (c *checker) distinct(values []namedValue) {
	first := make(map[string]string, len(values))
	for _, named := range values {
		if named.value == "" {
			continue
		}
		if earlier, found := first[named.value]; found {
			c.add(KindDuplicate, named.field, "%q is already given as %s; use another", named.value, earlier)
			continue
		}
		first[named.value] = named.field
	}
}

// seeds checks the addresses of other nodes.
func (c *checker) seeds(s *Settings) {
	if len(s.Seeds) > MaxSeeds {
		c.add(KindOutOfRange, "seeds", "has %d addresses; give at most %d", len(s.Seeds), MaxSeeds)
	}
	for i, seed := range s.Seeds {
		c.address(itemField("seeds", i), seed)
	}
	c.distinct(items("seeds", s.Seeds))
}

// group checks the settings that determine which nodes may replicate control state: those
// that Group names, or those that discover each other through Seeds.
func (c *checker) group(s *Settings) {
	if s.Seeded() && len(s.Seeds) == 0 {
		c.add(KindMissing, "group", "is empty, as seeds are; name the nodes with disks in the order agreed for the deployment, or give seeds through which they find each other")
	}
	if s.Founding && !s.Seeded() {
		c.add(KindInconsistent, "founding", "is set with a group; run init on the nodes of group instead, or leave group empty")
	}
	if len(s.Group) > MaxGroup {
		c.add(KindOutOfRange, "group", "has %d nodes; give at most %d", len(s.Group), MaxGroup)
	}
	for i, node := range s.Group {
		c.name(itemField("group", i), node)
	}
	c.distinct(items("group", s.Group))
	if len(s.GroupZones) != 0 && len(s.GroupZones) != len(s.Group) {
		c.add(KindInconsistent, "group_zones", "has %d zones for %d nodes of group; give one a node or none", len(s.GroupZones), len(s.Group))
	}
	for i, zone := range s.GroupZones {
		c.name(itemField("group_zones", i), zone)
	}
}

// disk checks that a node has a data folder if and only if Group names it, and that the zone
// of the node agrees with GroupZones. It checks nothing if Group is empty.
func (c *checker) disk(s *Settings) {
	if s.Seeded() {
		return
	}
	position := slices.Index(s.Group, s.Node)
	if position >= 0 && !s.HasDisk() {
		c.add(KindMissing, "data_folder", "is empty on a node of group; give its folder or take the node off group")
	}
	if position < 0 && s.HasDisk() {
		c.add(KindInconsistent, "data_folder", "is set on a node that is not in group; add the node to group on every node or remove the folder")
	}
	if position >= 0 && position < len(s.GroupZones) && s.GroupZones[position] != s.Zone {
		c.add(KindInconsistent, itemField("group_zones", position), "is %q, but zone is %q; correct one", s.GroupZones[position], s.Zone)
	}
}

// numbers checks the ranges of all numbers and durations.
func (c *checker) numbers(s *Settings) {
	c.between("service_shards", s.ServiceShards, 1, MaxServiceShards)
	c.between("log_ring", s.LogRing, 1, MaxLogRing)
	c.between("disk_mb", s.DiskMB, 0, MaxMachineMB)
	c.between("memory_mb", s.MemoryMB, 0, MaxMachineMB)
	c.between("open_files", s.OpenFiles, 0, MaxOpenFiles)
	c.between("heap_growth_percent", s.HeapGrowthPercent, MinHeapGrowthPercent, MaxHeapGrowthPercent)
	c.duration("contact_ms", s.ContactMS, MinContactTimeout, MaxContactTimeout)
	c.duration("acknowledge_ms", s.AcknowledgeMS, MinAcknowledgeTimeout, MaxAcknowledgeTimeout)
	c.duration("tick_every_ms", s.TickEveryMS, MinTickEvery, MaxTickEvery)
	c.duration("drain_timeout_ms", s.DrainTimeoutMS, time.Millisecond, MaxDrainTimeout)
	c.duration("heartbeat_every_ms", s.HeartbeatEveryMS, MinHeartbeatEvery, MaxHeartbeatEvery)
	c.duration("platform_poll_every_ms", s.PlatformPollEveryMS, MinPlatformPollEvery, MaxPlatformPollEvery)
	c.between("retry_percent", s.RetryPercent, 1, MaxRetryPercent)
	c.duration("retry_window_ms", s.RetryWindowMS, time.Second, MaxRetryWindow)
	c.between("retry_slack", s.RetrySlack, 0, MaxRetrySlack)
	c.duration("backend_retry_ms", s.BackendRetryMS, time.Millisecond, MaxBackendRetry)
	c.duration("ejection_ms", s.EjectionMS, MinEjection, MaxEjection)
	c.between("ejected_percent", s.EjectedPercent, 1, MaxEjectedPercent)
	c.duration("command_gap_ms", s.CommandGapMS, 0, MaxCommandGap)
	c.duration("weights_deadline_ms", s.WeightsDeadlineMS, 0, MaxWeightsDeadline)
}

// between checks that a number is at least low and at most high.
func (c *checker) between(field string, value, low, high int) {
	if value < low || value > high {
		c.add(KindOutOfRange, field, "is %d; use a number from %d to %d", value, low, high)
	}
}

// duration checks that a number of milliseconds is at least low and at most high.
func (c *checker) duration(field string, milliseconds int, low, high time.Duration) {
	c.between(field, milliseconds, int(low.Milliseconds()), int(high.Milliseconds()))
}

// itemField returns the name of one element of a list, such as "seeds[1]".
func itemField(field string, index int) string {
	return fmt.Sprintf("%s[%d]", field, index)
}

// items returns the elements of a list, each with its name from itemField.
func items(field string, values []string) []namedValue {
	named := make([]namedValue, 0, len(values))
	for i, value := range values {
		named = append(named, namedValue{itemField(field, i), value})
	}
	return named
}
