// Package wire encodes the messages between nodes as frames and decodes them.
//
// A frame is one FlatBuffers Envelope (wire.fbs) that names its sender and holds
// exactly one message: of replication, membership, the relay tree, control, or traffic
// gossip. This package converts between the generated tables and the message types of the
// packages that define the protocols; it defines no protocol itself. Each message has a
// file with both directions: functions named pack..., which build the generated tables,
// and methods of reader, which copy values out of a frame.
//
// Nodes of two releases run side by side while a deployment is upgraded, so the encoding
// of existing messages must not change: testdata contains a frame of every kind of
// message. A new field is added at the end of its table.
//
// Frames come from the network, so Decode accepts arbitrary bytes: it returns an *Error
// for bytes that are not a valid frame, and never allocates more than a small multiple of
// the frame's size.
//
// The only state of the package is a bounded cache of endpoint names. All functions may
// be called concurrently.
package wire
