// Package wire encodes the messages between nodes as frames and decodes them.
//
// A frame is one FlatBuffers Envelope (wire.fbs) that names its sender and holds
// exactly one message: of replication, membership, the relay tree, control, or the
// gossip about traffic. This package converts between the generated tables and the
// message types of the packages that define the protocols; it has no protocol of its
// own. Each message has a file with two directions: functions called pack..., which make
// the generated tables, and methods of reader, which copy values out of a frame.
//
// Nodes of two releases run beside each other while a deployment is upgraded, so that
// the bytes of a frame must not change: testdata holds a frame of every kind of
// message. A new field goes to the end of its table.
//
// Frames come from the network. Decode takes any bytes: it returns an *Error for bytes
// that are no frame, and never allocates more than a small multiple of the frame.
//
// The package keeps no state but a bounded cache of endpoint names. All functions may
// be called concurrently.
package wire
