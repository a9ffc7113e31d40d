// Package emulator models a replica of a language model and a store of kept
// chunks of prompts, without any I/O: time comes in with each call, and what happens
// goes out as notices and events. The same model runs in virtual time for
// benches and in real time behind the HTTP stand-ins.
//
// The model covers what matters for placing requests: prefill that is computed
// one request at a time, decode in a shared batch, a cache of chunks of prompts with
// least-recently-used eviction, transfers of chunks over links, late reports,
// weight loads, cold starts and crashes. Every cached chunk carries the tenant and
// the weight version that really made it, so that a wrong reuse shows.
//
// State and its owners:
//
//	Replica        accepted attempts, handles, notices; whether it is up, warm or draining
//	engine         the queue for prefill, the attempts that compute, and their rates
//	memory         the Cache of one incarnation, and the Journal of what changes in it
//	weights        the version that is loaded, and the load under way
//	reportHistory  past states, for readers that see them late
//	groundTruth    every arrival and every run, over all incarnations
//	Store          a memory without an engine
//	Feed           the events on their way to one reader, and what goes wrong with them
package emulator
