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
// within its bounds.
//
// State and its owners: simulation owns the clock, the event queue and the random
// streams; network the links and the frames in flight; each node its process,
// clock and storage; each replica its weights and requests; platform the endpoint
// list; operators the orders; connectivity what an observer knows of
// disturbances; checks what is needed to judge the run. One goroutine runs all
// events of a run, and nothing is locked; several runs may run concurrently, as
// Campaign does.
//
// Histories of orders are checked for linearizability with Porcupine.
package sim
