// Package workload makes seeded streams of requests as the two deployments see
// them: prompts as ordered chunks with their lengths, tenants of which a few are
// large, and arrivals at random times of a given mean rate. Equal options give
// equal streams.
package workload
