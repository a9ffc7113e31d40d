package static

import (
	"slices"
	"time"
)

// HasDisk reports whether the node has a data folder and may replicate control state.
func (s *Settings) HasDisk() bool {
	return s.DataFolder != ""
}

// Seeded reports whether the nodes with disks discover each other through Seeds, because
// Group does not name them.
func (s *Settings) Seeded() bool {
	return len(s.Group) == 0
}

// MemberID returns the name by which other nodes identify this one: its internal address in
// a seeded deployment, else its node name.
func (s *Settings) MemberID() string {
	if s.Seeded() {
		return s.Internal
	}
	return s.Node
}

// Founder reports whether the node is one of those that form the replica groups at the
// first start of a seeded deployment.
func (s *Settings) Founder() bool {
	return s.Founding && s.Seeded() && s.HasDisk() && slices.Contains(s.Seeds, s.Internal)
}

// InternalListener returns the IP and port to listen on for other nodes.
func (s *Settings) InternalListener() string {
	if s.InternalListen != "" {
		return s.InternalListen
	}
	return s.Internal
}

// DrainTimeout returns the limit of the time to finish requests after SIGTERM.
func (s *Settings) DrainTimeout() time.Duration { return milliseconds(s.DrainTimeoutMS) }

// ContactTimeout returns how long an unresponsive node counts as in contact.
func (s *Settings) ContactTimeout() time.Duration { return milliseconds(s.ContactMS) }

// AcknowledgeTimeout returns the limit of the wait for the acknowledgement of an operator's order.
func (s *Settings) AcknowledgeTimeout() time.Duration { return milliseconds(s.AcknowledgeMS) }

// TickEvery returns the interval between ticks of the control machine.
func (s *Settings) TickEvery() time.Duration { return milliseconds(s.TickEveryMS) }

// HeartbeatEvery returns the interval of heartbeats between nodes.
func (s *Settings) HeartbeatEvery() time.Duration { return milliseconds(s.HeartbeatEveryMS) }

// PlatformPollEvery returns the interval between reads of the platform's endpoint list.
func (s *Settings) PlatformPollEvery() time.Duration { return milliseconds(s.PlatformPollEveryMS) }

// CommandGap returns the minimum time between the commands of two nodes to the same replica.
func (s *Settings) CommandGap() time.Duration { return milliseconds(s.CommandGapMS) }

// DiskBytes returns the disk space that the data folder may use, or 0 if the settings do not
// specify it.
func (s *Settings) DiskBytes() int64 { return mebibytes(s.DiskMB) }

// MemoryBytes returns the memory that the node may use, or 0 if the settings do not specify it.
func (s *Settings) MemoryBytes() int64 { return mebibytes(s.MemoryMB) }

// WeightsDeadline returns the time after which replicas that do not run the named weights
// get no requests; 0 means never.
func (s *Settings) WeightsDeadline() time.Duration { return milliseconds(s.WeightsDeadlineMS) }

// RetryWindow returns the length of the window of the retry budget.
func (s *Settings) RetryWindow() time.Duration { return milliseconds(s.RetryWindowMS) }

// BackendRetry returns the time after which a caller may retry after a failure of a back end.
func (s *Settings) BackendRetry() time.Duration { return milliseconds(s.BackendRetryMS) }

// Ejection returns how long an outlier is ejected the first time.
func (s *Settings) Ejection() time.Duration { return milliseconds(s.EjectionMS) }

func milliseconds(number int) time.Duration {
	return time.Duration(number) * time.Millisecond
}

func mebibytes(count int) int64 { return int64(count) << 20 }
