// Package view builds the immutable routing.View that traffic is routed by, from the
// configuration, the rows of replicas and the platform's list.
//
// Builder owns a namedweights.Tracker, because a node stops using replicas that do not run a
// named version by its deadline. All other inputs are owned by other packages and are only
// read. A view is never modified after it was built, so that any number of requests may read
// it concurrently.
package view
