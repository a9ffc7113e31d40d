// Package workload makes seeded streams of requests as the two deployments see
// them: prompts as ordered chunks with their lengths, tenants of which a few are
// large, and arrivals at random times of a given mean rate. Equal options give
// equal streams.
//
// A Mix says what a deployment's requests are like and never changes; a Generator owns
// the state of one stream, and belongs to one goroutine.
package workload
