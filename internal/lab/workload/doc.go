// Package workload generates seeded streams of requests that model the load of the two
// deployments: prompts as ordered chunks with their lengths, tenants of which a few are
// large, and arrivals at random times with a given mean rate. The same mix and options
// give the same stream.
//
// A Mix describes a deployment's requests and never changes. A Generator contains the state
// of one stream and may be used by only one goroutine.
package workload
