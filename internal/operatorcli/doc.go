// Package operatorcli implements the operators' commands of the ridgeswitch program. Each
// command makes one call of the control interface, and its words, such as "key add", are the
// verb of that call in the schema (api/ridgeswitch/v1). The verbs, their flags and the
// requests are derived from the schema, so that a call that is added to the schema becomes a
// verb without further code. There are two exceptions: "config check" makes no call, and the
// table of "status" begins with a summary that needs further calls, namely the configuration,
// the weights of every pool and, with --all, the status of every live member.
//
// # Flags
//
// Every scalar field of a request is a flag. The field "name" of a nested message takes the
// name of the message as its flag: key.name is --key. A whole configuration is read from the
// file that --file names. If a request contains the digest of a secret, --secret accepts the
// secret in place of the digest, and only the digest is sent.
//
// # Nodes
//
// --node may be repeated. The call is sent to the first node. If that node does not respond,
// responds with a server error, or reports that an order is pending, the identical call is
// sent to the next node. Every attempt of an order carries the same order ID, so that a resend
// is safe. If --order-id is not given, an ID is generated; the ID is always printed.
//
// # Exit status
//
//	0  success; for an order: acknowledged
//	1  refused, or "config check" found faults
//	2  the command line or a file is wrong; nothing was sent
//	3  pending: the order may take effect; resend it with the same --order-id
//	4  no node gave a final or pending response; an order may nevertheless take effect
package operatorcli
