// Package standin contains the code that the stand-ins for external services
// share: clock, HTTP server, response format, faults and event stream. A
// stand-in speaks the protocol of the service that it replaces and records the
// ground truth that a checker compares with what the product reported.
//
// The stand-ins use net/http directly, because they must be able to truncate a
// response at any byte.
package standin
