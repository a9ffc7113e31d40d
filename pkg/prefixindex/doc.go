// Package prefixindex records which replica or store caches which chunks of
// which prompts, and returns how many leading tokens of a prompt each of them
// caches. A replica or store is an owner of the chunks that it caches.
//
// A chunk is identified by its chain hash, which covers the chunk and everything
// before it: chain[i] = hash(chain[i-1] || chunk[i]), where chain[-1] is the hash
// of the model and the cache salt. One hash therefore stands for one exact prefix
// under one model, one weight version and one sharing domain. Owners that report
// chunks by ID and without a position have hashes of their own kind, see HashByID;
// the lookup is the same.
//
// # State
//
// An Index owns three tables, each with its own locks:
//
//   - reported: hash to set of owners, for chunks that owners reported. A partition
//     serves 64 owners, a shard of it the hashes with the same leading bits.
//   - predicted: the same for chunks that owners probably cache, with an expiry for
//     each pair of chunk and owner.
//   - sizes: the tokens that an owner caches of a chunk, where it reports them.
//
// # Concurrency
//
// All methods of Index may be called concurrently. A lookup takes no lock of the
// reported and predicted tables unless a writer changes the same shard at that
// moment; shard states the invariant. Changes of one owner should come from one
// goroutine at a time, since the last one wins. Locks of different tables are
// never held together, except predictions.mutex, under which the locks of its
// partitions and of the sizes are taken.
//
// The package reads no clock: time comes in as the time elapsed on the caller's.
//
// The method is that of the indexer in "Dynamo's KV Router"; docs/KV_ROUTING.md
// says what differs.
package prefixindex
