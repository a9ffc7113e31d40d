// Package outlier notices replicas that fail more than others while they claim
// to be well, takes them out of the choice for a while, and lets single requests
// probe whether they have recovered.
//
// It tells two degrees of trouble apart. A replica that could not be reached, or
// broke a connection, is suspected at once and for a short time, whatever its
// past. One that fails a share of its requests, far more than the replicas
// beside it, is ejected until some requests in a row went well.
//
// A node that sends a replica little of its traffic sees little of what it does.
// So nodes tell each other the outcomes at replicas that fail, and each judges
// by the outcomes of its own zone, or by all of them if those are too few.
//
// The package is pure: time is passed in, and there is no goroutine.
package outlier
