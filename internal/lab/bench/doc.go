// Package bench compares policies of placing requests. It replays one trace of
// requests over a fleet of emulated replicas in virtual time, once for each
// policy.
//
// All policies meet the same requests at the same times, on replicas with the
// same speed, the same memory and the same least-recently-used eviction; a
// prefix that a replica keeps is reused whoever sent the request there. The
// prefix-aware policy is the router that the nodes use, fed by late, lost,
// doubled and reordered events and by delayed reports.
package bench
