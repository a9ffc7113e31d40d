// Package operator serves the control interface of a node to operators: HTTP/1.1
// with JSON. All paths come from the http option of the schema in
// api/ridgeswitch/v1, so that a call is described only once.
//
// # Requests
//
// The body of a call is the JSON of its request message; field names are those
// of the schema. It is read strictly: an unknown field is refused. A segment of
// the path, such as {tenant}, is a field of the request and may be left out of
// the body. A query parameter may give any plain field of the request too, and
// "order_id" and "base_revision" give those of the order header, so that calls
// can do without a body:
//
//	DELETE /v1/tenants/a/keys/k1?order_id=4711
//
// A field that is given in two places must have the same value in both.
//
// # Responses
//
// 200 carries the response message; for an order it means acknowledged. 202
// carries an OrderResult whose outcome is PENDING: the order may take effect,
// and the identical order is to be resent, to any node. Every other status
// carries a Problem. 202 and 503 come with Retry-After.
//
// GET /healthz/ready and GET /healthz/live return 200 or 503. GET /metrics
// returns the metrics of the node, if it has any.
//
// # State
//
// What calls read and change is the node's, behind Control. The package itself only counts
// the calls that run. A Server owns its listener and one goroutine for each connection,
// until Stop; handlers run concurrently.
package operator
