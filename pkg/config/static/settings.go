package static

// Settings are one node's settings. A zero number means its default, see FillDefaults.
type Settings struct {
	// Node is the node's name, unique in the deployment and kept for life.
	Node string `yaml:"node" usage:"unique name of the node"`
	// Deployment names the deployment; it must be the same on every node. Nodes
	// of other deployments are not listened to.
	Deployment string `yaml:"deployment" usage:"name of the deployment, the same on every node"`
	// Zone is the failure domain of the node.
	Zone string `yaml:"zone" usage:"failure domain of the node"`
	// Internal is the IP and port for other nodes.
	Internal string `yaml:"internal" usage:"IP and port for other nodes"`
	// InternalListen is the IP and port that the node listens on for other nodes
	// where that is not Internal, the address that others know: behind a relay or an
	// address translation. Empty means Internal. Connections to other nodes
	// come from its IP.
	InternalListen string `yaml:"internal_listen" usage:"IP and port to listen on for other nodes, when they reach it elsewhere"`
	// Traffic is the IP and port for callers.
	Traffic string `yaml:"traffic" usage:"IP and port for callers"`
	// ControlOnly nodes serve no callers: they replicate and relay state, and serve
	// operators.
	ControlOnly bool `yaml:"control_only" usage:"serve no callers"`
	// Control is the IP and port for operators and health checks.
	Control string `yaml:"control" usage:"IP and port for operators and health checks"`
	// Seeds are internal addresses of nodes, at most MaxSeeds; the node's own may
	// be among them. They may be empty on the first node of a deployment whose
	// Group is given. Changed seeds are applied while the node runs.
	Seeds []string `yaml:"seeds" usage:"internal address of another node; at most three"`
	// Founding is set at the first start of a whole deployment whose Group is
	// empty, and never again: the nodes at the addresses of Seeds then form the
	// replica groups. It has no bearing on a node whose data folder is in use.
	Founding bool `yaml:"founding" usage:"first start of the whole deployment: the nodes at the seeds form the replica groups"`
	// Group names the nodes with disks in the order agreed for the whole
	// deployment; it must be the same on every node. If it is empty, the nodes
	// with disks are those that find each other through seeds, and are known by
	// their internal addresses.
	Group []string `yaml:"group" usage:"names of the nodes with disks, in the agreed order"`
	// GroupZones holds the zones of the nodes in Group, in the same order. It
	// may be empty; then replica groups are not spread over zones.
	GroupZones []string `yaml:"group_zones" usage:"zones of the nodes in group, in the same order"`
	// DataFolder holds all files of the node. With a Group, it is set on its nodes
	// alone; the others route and relay.
	DataFolder string `yaml:"data_folder" usage:"folder of all files, on nodes with disks"`
	// FailOpen lets a node that may be partitioned go on serving by its newest
	// configuration, and acknowledgements go on without nodes that are out of
	// reach. Otherwise such a node refuses traffic, and is waited for until that
	// is certain. It must be the same on every node.
	FailOpen bool `yaml:"fail_open" usage:"go on serving while cut off, and acknowledge without nodes out of reach"`
	// ContactMS is how long a node that no longer responds counts as in contact, in
	// milliseconds. With FailOpen, elections and the detection of failures take
	// less.
	ContactMS int `yaml:"contact_ms" usage:"how long a silent node counts as in contact"`
	// AcknowledgeMS bounds the wait for the acknowledgement of an order with
	// FailOpen, in milliseconds.
	AcknowledgeMS int `yaml:"acknowledge_ms" usage:"longest wait for the acknowledgement of an order"`
	// PlatformAddress is the IP and port of the platform's list of replicas.
	PlatformAddress string `yaml:"platform_address" usage:"IP and port of the platform's list of replicas"`
	// PlatformPollEveryMS is the interval between reads of that list, in
	// milliseconds.
	PlatformPollEveryMS int `yaml:"platform_poll_every_ms" usage:"interval between reads of that list"`
	// CommandGapMS is how far apart the commands of two nodes to one replica are at
	// least, in milliseconds.
	CommandGapMS int `yaml:"command_gap_ms" usage:"least time between the weights commands of two nodes to one replica"`
	// WeightsDeadlineMS is how long after weights were named a node gives up the
	// replicas that do not run them, if enough others do, in milliseconds; 0 means
	// never.
	WeightsDeadlineMS int `yaml:"weights_deadline_ms" usage:"time after which replicas without the named weights get no requests"`
	// ServiceShards is the number of shards of service state, the same on every
	// node. Its default is DefaultServiceShards, or DefaultSeededServiceShards
	// without a Group.
	ServiceShards int `yaml:"service_shards" usage:"shards of service state, the same on every node"`
	// HeartbeatEveryMS is the interval of heartbeats between nodes, in milliseconds.
	HeartbeatEveryMS int `yaml:"heartbeat_every_ms" usage:"interval of heartbeats between nodes"`
	// TickEveryMS is the interval of the control machine's ticks, in milliseconds. A
	// longer one costs less while nothing happens.
	TickEveryMS int `yaml:"tick_every_ms" usage:"interval at which control state looks at the clock"`
	// RetryPercent is the retry budget: the percentage of the requests of a
	// destination that may be retried.
	RetryPercent int `yaml:"retry_percent" usage:"share of requests that may be sent again, in hundredths"`
	// RetryWindowMS is the window of the retry budget, in milliseconds.
	RetryWindowMS int `yaml:"retry_window_ms" usage:"window in which the share of retries counts"`
	// RetrySlack is how many requests of a destination all nodes together may retry in
	// a window beyond RetryPercent.
	RetrySlack int `yaml:"retry_slack" usage:"retries of all nodes in a window beyond the share"`
	// BackendRetryMS is when a caller may come back after a failure of a back
	// end, in milliseconds.
	BackendRetryMS int `yaml:"backend_retry_ms" usage:"when callers may come back after a failure of a back end"`
	// EjectionMS is how long an outlier, a back end that fails far more requests than
	// others, is ejected, in milliseconds. It is ejected for up to eight times as long
	// when it goes on failing.
	EjectionMS int `yaml:"ejection_ms" usage:"how long a back end that fails many requests is left out at first"`
	// EjectedPercent is the largest percentage of a destination's back ends that may
	// be ejected. Where that is less than one back end, none is.
	EjectedPercent int `yaml:"ejected_percent" usage:"largest share of back ends that is left out, in hundredths"`
	// DrainTimeoutMS bounds the time to finish requests after SIGTERM, in
	// milliseconds.
	DrainTimeoutMS int `yaml:"drain_timeout_ms" usage:"time to finish requests after SIGTERM"`
	// HeapGrowthPercent is how far the heap may grow beyond what is in use before
	// garbage is collected, in hundredths of what is in use. A smaller one takes less
	// memory and more processor time.
	HeapGrowthPercent int `yaml:"heap_growth_percent" usage:"growth of the heap beyond what is in use until garbage is collected, in hundredths"`
	// DiskMB and MemoryMB are what the machine gives to the node, in mebibytes. Control
	// state and its log are bounded by them. Without DiskMB the capacity of the file
	// system of DataFolder holds, and without MemoryMB no bound.
	DiskMB   int `yaml:"disk_mb,omitempty" usage:"disk that the data folder may take, in MiB"`
	MemoryMB int `yaml:"memory_mb,omitempty" usage:"memory that the node may take, in MiB"`
	// RecordFile is where the node records the requests that it serves, without
	// prompts and keys; empty for no recording. See docs/REPLAY.md.
	RecordFile string `yaml:"record_file" usage:"file to record served requests in, without prompts and keys"`
	// LogLevel is the lowest level that enters the log ring: "debug", "info",
	// "warning" or "error".
	LogLevel string `yaml:"log_level" usage:"debug, info, warning or error"`
	// LogRing is the number of log entries kept in memory.
	LogRing int `yaml:"log_ring" usage:"log entries kept in memory"`
}
