// Package operator implements the control interface of a node for operators: HTTP/1.1 with JSON.
// The paths of all calls come from the http option in the schema in api/ridgeswitch/v1, so that
// each call is defined in one place.
//
// # Requests
//
// The body of a call is its request message in JSON, with the field names of the schema. Unknown
// fields are rejected. A segment of the path, such as {tenant}, is a field of the request and may
// be omitted from the body. A query parameter can set any plain field of the request; "order_id"
// and "base_revision" set the fields of the order header. Calls can therefore omit the body:
//
//	DELETE /v1/tenants/a/keys/k1?order_id=4711
//
// A field that is given in several places must have the same value in each.
//
// # Responses
//
// The body of status 200 is the response message; for an order, 200 means acknowledged. The body of
// 202 is an OrderResult with the outcome PENDING: the order may take effect, and the operator should
// resend the identical order to any node. The body of any other status is a Problem. 202 and 503
// have a Retry-After header.
//
// GET /healthz/ready and GET /healthz/live return 200 or 503. GET /metrics returns the metrics of
// the node if WithMetrics is given.
//
// # State
//
// The state that calls read and change belongs to the node, which implements Control. The package
// itself only counts the running calls. A Server owns its listener and one goroutine for each
// connection until Stop. Handlers run concurrently.
package operator
