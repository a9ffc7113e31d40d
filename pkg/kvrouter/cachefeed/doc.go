// Package cachefeed follows what one replica or store, the owner, caches: by the events
// and chunk reports that it sends, and by predictions where it has not reported yet.
//
// An owner reports in one of two ways. Chained chunks come as events that are numbered
// upwards from 1 in each incarnation; chunks by ID come as batches of changes between
// two sequence numbers. Either may come doubled, late and out of order. A report that
// comes too early is buffered until those before it have come. If they don't come within
// the reorder window or wait, they count as lost, and what is buffered is applied. What
// was recorded of the owner before is uncertain then: chained chunks until a reset;
// chunks by ID, which become predictions, until they are reported again or a snapshot
// comes.
//
// Feed is the only entry. It composes:
//
//	state                                               owner
//	present incarnation and the last few before it      incarnations
//	sequence and buffer of events                       eventFeed
//	sequence and buffer of batches, changes followed    chunkFeed
//	chunks in both indexes, waiters for their change    record
//	weight version, epoch, whether chunks are missing   Feed
//
// All methods of Feed may be called concurrently. Feed.View never waits for another
// method, so that a long reset does not delay selection.
package cachefeed
