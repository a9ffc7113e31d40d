package static

import (
	"slices"
	"time"
)

// HasDisk reports whether the node has a data folder and may replicate control state.
func (s *Settings) HasDisk() bool {
	return s.DataFolder != ""
}

// Seeded reports whether the nodes with disks find each other through seeds instead
// of being named by a group.
func (s *Settings) Seeded() bool {
	return len(s.Group) == 0
}

// MemberID is the name by which other nodes know this one.
func (s *Settings) MemberID() string {
	if s.Seeded() {
		return s.Internal
	}
	return s.Node
}

// Founder reports whether the node is one of those that form the replica groups.
func (s *Settings) Founder() bool {
	return s.Founding && s.Seeded() && s.HasDisk() && slices.Contains(s.Seeds, s.Internal)
}

// InternalListener is the IP and port to listen on for other nodes.
func (s *Settings) InternalListener() string {
	if s.InternalListen != "" {
		return s.InternalListen
	}
	return s.Internal
}

// DrainTimeout bounds the time to finish requests after SIGTERM.
func (s *Settings) DrainTimeout() time.Duration { return milliseconds(s.DrainTimeoutMS) }

// Contact is how long a node that no longer responds counts as in contact.
func (s *Settings) Contact() time.Duration { return milliseconds(s.ContactMS) }

// Acknowledge bounds the wait for the acknowledgement of an order.
func (s *Settings) Acknowledge() time.Duration { return milliseconds(s.AcknowledgeMS) }

// TickEvery is the interval at which control state looks at the clock.
func (s *Settings) TickEvery() time.Duration { return milliseconds(s.TickEveryMS) }

// HeartbeatEvery is the interval of heartbeats between nodes.
func (s *Settings) HeartbeatEvery() time.Duration { return milliseconds(s.HeartbeatEveryMS) }

// PlatformPollEvery is the interval between reads of the platform's endpoint list.
func (s *Settings) PlatformPollEvery() time.Duration { return milliseconds(s.PlatformPollEveryMS) }

// CommandGap is how far apart the commands of two nodes to one replica are.
func (s *Settings) CommandGap() time.Duration { return milliseconds(s.CommandGapMS) }

// DiskBytes is the disk that the data folder may take, or 0 if the settings do not tell it.
func (s *Settings) DiskBytes() int64 { return mebibytes(s.DiskMB) }

// MemoryBytes is the memory that the node may take, or 0 if the settings do not tell it.
func (s *Settings) MemoryBytes() int64 { return mebibytes(s.MemoryMB) }

// WeightsDeadline is the time after which replicas without the named weights get no
// requests; 0 means never.
func (s *Settings) WeightsDeadline() time.Duration { return milliseconds(s.WeightsDeadlineMS) }

// RetryWindow is the window of the retry budget.
func (s *Settings) RetryWindow() time.Duration { return milliseconds(s.RetryWindowMS) }

// BackendRetry is when a caller may come back after a failure of a back end.
func (s *Settings) BackendRetry() time.Duration { return milliseconds(s.BackendRetryMS) }

// Ejection is how long an outlier is ejected the first time.
func (s *Settings) Ejection() time.Duration { return milliseconds(s.EjectionMS) }

func milliseconds(number int) time.Duration {
	return time.Duration(number) * time.Millisecond
}

func mebibytes(count int) int64 { return int64(count) << 20 }
