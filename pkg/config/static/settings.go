package static

// Settings contains the settings of one node. Zero values of settings with a default are
// replaced by FillDefaults.
type Settings struct {
	// Node is the node's name. It is unique in the deployment and never changes.
	Node string `yaml:"node" usage:"unique name of the node"`
	// Deployment names the deployment; it must be the same on every node. Frames
	// from nodes of other deployments are dropped.
	Deployment string `yaml:"deployment" usage:"name of the deployment, the same on every node"`
	// Zone is the failure domain of the node.
	Zone string `yaml:"zone" usage:"failure domain of the node"`
	// Internal is the IP and port at which other nodes reach this one.
	Internal string `yaml:"internal" usage:"IP and port for other nodes"`
	// InternalListen is the IP and port that the node listens on for other nodes, if
	// that differs from Internal, as behind a relay or network address translation.
	// Empty means Internal. Connections to other nodes originate from this IP.
	InternalListen string `yaml:"internal_listen" usage:"IP and port to listen on for other nodes, when they reach it elsewhere"`
	// Traffic is the IP and port for callers.
	Traffic string `yaml:"traffic" usage:"IP and port for callers"`
	// ControlOnly means that the node serves no callers: it only replicates and relays
	// state, and serves operators.
	ControlOnly bool `yaml:"control_only" usage:"serve no callers"`
	// Control is the IP and port for operators and health checks.
	Control string `yaml:"control" usage:"IP and port for operators and health checks"`
	// Seeds are internal addresses of nodes, at most MaxSeeds; the node's own address may
	// be among them. Seeds may be empty on the first node of a deployment whose Group is
	// given. Changed seeds are applied while the node runs.
	Seeds []string `yaml:"seeds" usage:"internal address of another node; at most three"`
	// Founding is set at the first start of a whole deployment whose Group is empty, and
	// never again: the nodes at the addresses of Seeds then form the replica groups. It
	// has no effect on a node whose data folder has been used before.
	Founding bool `yaml:"founding" usage:"first start of the whole deployment: the nodes at the seeds form the replica groups"`
	// Group names the nodes with disks; the names and their order must be the same on
	// every node. If Group is empty, the nodes with disks discover each other through
	// Seeds and are identified by their internal addresses.
	Group []string `yaml:"group" usage:"names of the nodes with disks, in the agreed order"`
	// GroupZones holds the zones of the nodes in Group, in the same order. It
	// may be empty; then replica groups are not spread over zones.
	GroupZones []string `yaml:"group_zones" usage:"zones of the nodes in group, in the same order"`
	// DataFolder is the folder for all files of the node but RecordFile. If Group is
	// given, exactly the nodes that it names have a data folder; the others only route
	// requests and relay state.
	DataFolder string `yaml:"data_folder" usage:"folder of all files, on nodes with disks"`
	// FailOpen lets a node that may be partitioned go on serving with the newest
	// configuration that it has, and acknowledgements do not wait for unreachable nodes.
	// Without FailOpen, a node that may be partitioned refuses traffic, and an
	// acknowledgement waits until the node has certainly stopped serving. FailOpen must
	// be the same on every node.
	FailOpen bool `yaml:"fail_open" usage:"go on serving while cut off, and acknowledge without nodes out of reach"`
	// ContactMS is how long an unresponsive node counts as in contact, in milliseconds.
	// With FailOpen, an unresponsive leader is to be replaced within this time. Without
	// FailOpen, ContactMS has no effect.
	ContactMS int `yaml:"contact_ms" usage:"how long a silent node counts as in contact"`
	// AcknowledgeMS bounds the wait for the acknowledgement of an operator's order with
	// FailOpen, in milliseconds. Without FailOpen, it has no effect.
	AcknowledgeMS int `yaml:"acknowledge_ms" usage:"longest wait for the acknowledgement of an order"`
	// PlatformAddress is the IP and port of the platform's list of replicas.
	PlatformAddress string `yaml:"platform_address" usage:"IP and port of the platform's list of replicas"`
	// PlatformPollEveryMS is the interval between reads of the platform's list of
	// replicas, in milliseconds.
	PlatformPollEveryMS int `yaml:"platform_poll_every_ms" usage:"interval between reads of that list"`
	// CommandGapMS is the minimum time between the commands of two nodes to the same
	// replica, in milliseconds.
	CommandGapMS int `yaml:"command_gap_ms" usage:"least time between the weights commands of two nodes to one replica"`
	// WeightsDeadlineMS is how long after a weight version was named nodes stop sending
	// requests to the replicas that do not run it, in milliseconds; 0 means never. While
	// the deadline has passed only by a node's own clock, the node goes on sending them
	// requests until enough other replicas run the version.
	WeightsDeadlineMS int `yaml:"weights_deadline_ms" usage:"time after which replicas without the named weights get no requests"`
	// ServiceShards is the number of shards of service state, the same on every
	// node. Its default is DefaultServiceShards, or DefaultSeededServiceShards
	// without a Group.
	ServiceShards int `yaml:"service_shards" usage:"shards of service state, the same on every node"`
	// HeartbeatEveryMS is the interval of heartbeats between nodes, in milliseconds.
	HeartbeatEveryMS int `yaml:"heartbeat_every_ms" usage:"interval of heartbeats between nodes"`
	// TickEveryMS is the interval between ticks of the control machine, in milliseconds.
	// A longer interval takes less processor time on an idle node.
	TickEveryMS int `yaml:"tick_every_ms" usage:"interval at which control state looks at the clock"`
	// RetryPercent is the retry budget: the percentage of the requests of a
	// destination that may be retried.
	RetryPercent int `yaml:"retry_percent" usage:"share of requests that may be sent again, in hundredths"`
	// RetryWindowMS is the length of the window of the retry budget, in milliseconds.
	RetryWindowMS int `yaml:"retry_window_ms" usage:"window in which the share of retries counts"`
	// RetrySlack is how many requests of a destination all nodes together may retry in
	// a window in addition to those that RetryPercent permits.
	RetrySlack int `yaml:"retry_slack" usage:"retries of all nodes in a window beyond the share"`
	// BackendRetryMS is the time after which a caller may retry after a failure of a back
	// end, in milliseconds.
	BackendRetryMS int `yaml:"backend_retry_ms" usage:"when callers may come back after a failure of a back end"`
	// EjectionMS is how long an outlier, which is a back end that fails far more requests
	// than others, is ejected the first time, in milliseconds. If it goes on failing, it
	// is ejected for up to eight times as long.
	EjectionMS int `yaml:"ejection_ms" usage:"how long a back end that fails many requests is left out at first"`
	// EjectedPercent is the largest percentage of a destination's back ends that may be
	// ejected. If that is less than one back end, none is ejected.
	EjectedPercent int `yaml:"ejected_percent" usage:"largest share of back ends that is left out, in hundredths"`
	// DrainTimeoutMS bounds the time to finish requests after SIGTERM, in
	// milliseconds.
	DrainTimeoutMS int `yaml:"drain_timeout_ms" usage:"time to finish requests after SIGTERM"`
	// HeapGrowthPercent is how far the heap may grow beyond the live heap before garbage
	// is collected, in percent of the live heap. A smaller value takes less memory and
	// more processor time.
	HeapGrowthPercent int `yaml:"heap_growth_percent" usage:"growth of the heap beyond what is in use until garbage is collected, in hundredths"`
	// DiskMB and MemoryMB are the disk space and the memory that the node may use, in
	// mebibytes. They bound control state and its log, and MemoryMB also bounds what clients
	// can make the node hold. Without DiskMB, the capacity of the file system of DataFolder
	// applies. Without MemoryMB, memory sets no bound for control state, and that of the
	// computer applies to clients.
	DiskMB   int `yaml:"disk_mb,omitempty" usage:"disk that the data folder may take, in MiB"`
	MemoryMB int `yaml:"memory_mb,omitempty" usage:"memory that the node may take, in MiB"`
	// OpenFiles is how many files and connections the node may have open. It bounds the
	// connections of clients; 0 means the limit of the process.
	OpenFiles int `yaml:"open_files,omitempty" usage:"files and connections that the node may have open"`
	// RecordFile is where the node records the requests that it serves, without
	// prompts and keys; empty means no recording. See docs/REPLAY.md.
	RecordFile string `yaml:"record_file" usage:"file to record served requests in, without prompts and keys"`
	// LogLevel is the lowest level of entries in the log ring: "debug", "info",
	// "warning" or "error".
	LogLevel string `yaml:"log_level" usage:"debug, info, warning or error"`
	// LogRing is the number of log entries kept in memory.
	LogRing int `yaml:"log_ring" usage:"log entries kept in memory"`
}
