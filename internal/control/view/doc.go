// Package view makes what traffic is routed by: an immutable routing.View of the
// configuration, the rows of replicas and the platform's list.
//
// Builder owns nothing but the namedweights.Tracker, as replicas without a named version
// are given up after a deadline. All other inputs belong to others and are only read. A
// view is not changed once it is built, so that any number of requests may read it.
package view
