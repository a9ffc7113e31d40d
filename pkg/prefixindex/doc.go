// Package prefixindex records which replica or store caches which chunks of
// which prompts, and returns how many leading tokens of a prompt each of them
// caches. A replica or store is an owner of the chunks that it caches.
//
// A chunk is identified by its chain hash, which covers the chunk and everything
// before it: chain[i] = hash(chain[i-1] || chunk[i]), where chain[-1] is the hash
// of the model and the cache salt. The cache salt covers the weight version and the
// sharing domain, so that one hash identifies one exact prefix under one model, one
// weight version and one sharing domain. Chunks that owners report by ID and without
// a position are identified by HashByID instead; the lookup is the same.
//
// # State
//
// An Index owns three tables, each with its own locks:
//
//   - reported maps a hash to the set of owners that reported the chunk. It is split
//     into partitions of 64 owners each, and a partition into shards by the leading
//     bits of the mixed hash.
//   - predicted has the same structure for chunks that owners probably cache, and an
//     expiry for each pair of chunk and owner.
//   - sizes contains how many tokens of a chunk an owner caches, if the owner reports
//     that number.
//
// # Concurrency
//
// All methods of Index may be called concurrently. A lookup takes no lock of the
// reported and predicted tables unless a writer changes the same shard at that
// moment or a prediction has expired; the comment of shard states the invariant. If
// any sizes are recorded, a lookup takes read locks of their table. Changes of one
// owner should come from one goroutine at a time, since the last change wins. Locks
// of different tables are never held together, with one exception: the locks of the
// predicted partitions and of sizes are taken while predictions.mutex is held.
//
// The package reads no clock: callers pass the time elapsed on their own clock.
//
// The algorithm follows the indexer in "Dynamo's KV Router"; docs/KV_ROUTING.md lists
// the differences.
package prefixindex
