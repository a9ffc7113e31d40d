// Package sim runs the control state machines of a whole small deployment in
// virtual time, breaks everything around them, and checks that nothing that
// must never happen has happened.
//
// The nodes run the daemon's own control.Machine and its durable logs. Network,
// disks, clocks, replicas, the platform's list, operators and traffic are
// models. Everything that happens follows from one seed, so that a failing seed
// can be run again and drawn as a timeline.
//
// A run has three spans: the start, in which the deployment forms; the faults;
// and the calm, in which everything has to come back within its bounds.
package sim
