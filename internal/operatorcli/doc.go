// Package operatorcli holds the operators' commands of the ridgeswitch program. Each
// stands for one call of the control interface, and its words, such as "key add", are the
// verb of that call in the schema (api/ridgeswitch/v1). The verbs, their flags and what
// they send are derived from the schema; a new call of it is a new verb without further
// code. The table of "status" begins with a summary that more calls go into:
// those for the roll-outs and, with --all, the status of every live member.
//
// # Flags
//
// Every plain field of a request is a flag. The name of a nested message, such
// as key.name, is given by the flag of the message: --key. A whole configuration
// is read from --file. Where a request holds the digest of a secret, --secret
// gives the secret instead; only its digest leaves the process.
//
// # Nodes
//
// --node may be repeated. The call goes to the first node; when that does not
// answer, answers with a server error, or says that an order is pending, the
// identical call goes to the next one. An order keeps its --order-id, which is
// made up and printed when it is not given, so that a resend is safe.
//
// # Exit status
//
//	0  done; for an order: acknowledged
//	1  refused, or "config check" found faults
//	2  the command line or a file is wrong; nothing was sent
//	3  pending: the order may take effect; resend it with the same --order-id
//	4  no node answered; an order may take effect all the same
package operatorcli
