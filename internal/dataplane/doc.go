// Package dataplane serves callers: it admits their requests, routes them by
// host to a pool of model replicas or to a web service, chooses a back end,
// runs attempts by the request's ledger, and answers.
//
// Each request passes a chain of small handlers. A handler either refuses the
// request, which answers it at once with a typed error, or calls the next one.
// Control state is read only through routing.Source.
package dataplane
