// Package sim runs the control state machines of a small deployment in virtual
// time, disturbs everything around them, and checks invariants that must hold in
// every run.
//
// The nodes run the daemon's own control.Machine and its durable logs. Network,
// disks, clocks, replicas, the platform's endpoint list, operators and traffic
// are models. All randomness follows from one seed, so that a failing seed can be
// run again and drawn as a timeline, and equal settings give equal counts to the
// last digit.
//
// A run has three phases: the start, in which the deployment forms; the faults;
// and the recovery phase, in which no fault is active and service has to be back
// within its bounds. Run in simulation.go shows all of it.
//
// # State
//
// One goroutine runs all events of a run, and nothing is locked; several runs may
// run concurrently, as Campaign does.
//
//	State                                                 Owner
//	settings, what is switched off                        environment
//	virtual time, events to come                          clock
//	streams of random numbers                             randomness
//	counts, violations, digest, timeline                  record
//	present and removed machines, addresses, seeds        machines
//	process, freeze, control machine, view in force       node
//	a node's clocks                                       nodeClock
//	disk, logs, writes that are not durable yet           storage
//	requests in flight of a node                          traffic
//	an operator's calls without a reply                   operatorCalls
//	an evacuation by calls without an identity            evacuationCall
//	partitions, storms                                    network
//	delays of calls to back ends                          backendCalls
//	endpoint list, its lag and outages                    platform
//	weights, load and requests of a replica               replica
//	keys that callers use                                 keyring
//	orders and their submissions                          operators
//	names that orders use up                              orderFactory
//	whether the disks of a majority are lost              majorityLoss
//	when each node and the core were last disturbed       connectivity
//	spans without a disturbance of the core or a link     connectivity: calmSpans
//	what is needed to judge                               revisionChecks, orderChecks, commandChecks, requestChecks,
//	                                                      evacuationChecks
//
// shardGroups, operatorReads, recoveryChecks and the faults have no state of their
// own. Faults are grouped by what they break: machineFaults, replacementFaults,
// diskFaults, networkFaults, coreFaults, backendFaults, endpointFaults and
// orderFaults. The table of all kinds is faultKinds.
//
// # Rules and their proof
//
// A rule is proved by a breakage: with the mechanism switched off (Break, --break)
// the rule is seen to be violated. (f) stands for --fail-open, (r) for
// --finish-first.
//
//	Rule                   Where                 Breakage that violates it
//	acknowledged_in_calm   recovery_checks.go    append-claimed (f)
//	acknowledged_in_time   order_checks.go       append-claimed (f), no-probes (f)
//	admitted_after_ack     revision_checks.go    ack-before-confirm, stale-config-after-restart, fence-ignored
//	command_holder         checks.go (shared)    command-after-deadline
//	command_holder         command_checks.go     token-reused (r)
//	disk_outgrown          storage.go            disk-size-unknown (f)
//	document_kept          recovery_checks.go    append-claimed (f), no-compare-and-set (f)
//	draining_replica       request_checks.go     reader-never-replaced (r)
//	evacuation_undone      evacuation_checks.go  unconditional-evacuations
//	epochs_never_back      command_checks.go     no-epoch-check
//	holders_keep_apart     command_checks.go     no-command-gap (r)
//	in_force               revision_checks.go    ack-before-sync (f), in control_test.go
//	linearizable           history.go            ack-before-sync, empty-disk-votes, no-order-dedup
//	older_after_outage     revision_checks.go    old-disk-served (f)
//	older_weights          request_checks.go     no-weights-deadline (f, r)
//	one_content            revision_checks.go    no-witness-floor
//	one_document_per_base  order_checks.go       no-compare-and-set (f)
//	one_order_per_base     checks.go (shared)    no-compare-and-set
//	order_settles          recovery_checks.go    append-claimed (f)
//	read_never_older       reads.go              reads-own-view
//	resent_order           checks.go (shared)    no-order-dedup
//	revoked_key            revision_checks.go    stale-config-after-restart, fence-ignored
//	served_never_back      revision_checks.go    relay-accepts-older
//	token_of_one_holder    command_checks.go     token-reused (r)
//	tokens_never_fall      command_checks.go     command-after-deadline (r)
//	weights_of_request     request_checks.go     lease-ignores-suspend, drain-ignores-running
//	weights_settle         recovery_checks.go    empty-disk-votes
//	weights_under_requests request_checks.go     drain-ignores-running, version-ignored (r)
//
// No breakage here is known to violate acknowledged_lost, answer_of_order,
// commanded_in_vain, durable_write, evacuated_zone, frame, invalid_refused,
// restart, service_back or spread_in_calm. The rules marked as shared
// and invalid_refused are those of internal/lab/checker, whose specs break each with
// records made for it.
//
// Histories of orders are checked for linearizability with Porcupine.
package sim
