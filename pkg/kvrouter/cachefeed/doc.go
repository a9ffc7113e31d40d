// Package cachefeed tracks which chunks one replica or store, called the owner, caches. It
// uses the events and chunk reports that the owner sends, and predictions of chunks that the
// owner has not reported yet.
//
// An owner reports in one of two ways. Chained chunks are reported by events that are
// numbered upwards from 1 in each incarnation; chunks by ID are reported by batches of
// changes between two sequence numbers. Events and batches may arrive duplicated, late and
// out of order. One that arrives early is buffered until those before it have arrived. If
// they don't arrive within the reorder window or wait, they count as lost, and the buffered
// ones are applied. The chunks that were recorded before the loss are then uncertain:
// chained chunks until a reset arrives; chunks by ID, which become predictions, until they
// are reported again or a snapshot arrives.
//
// Feed is the only entry point. These types hold its state:
//
//	state                                               type
//	current incarnation and the last few before it      incarnations
//	sequence and buffer of events                       eventFeed
//	sequence and buffer of batches, changed chunks      chunkFeed
//	chunks in both indexes, notification of changes     record
//	weight version, epoch, whether chunks are missing   Feed
//
// All methods of Feed may be called concurrently. Feed.View never waits for another
// method, so that a long reset does not delay selection.
package cachefeed
