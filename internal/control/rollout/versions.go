package rollout

import (
	"strconv"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
)

// Weight versions are labels. Those that are whole numbers are compared as such, so
// that a replica which is ahead of the named version is left as it is.

// VersionReached reports whether a replica that runs one version need not load the
// named one. No version was reached by a replica of unknown weights; whatever a
// replica runs does if none is named.
func VersionReached(running, named string) bool {
	if running == "" {
		return false
	}
	if named == "" || running == named {
		return true
	}
	return numericallyNewer(running, named)
}

// VersionReachedAnyOf reports whether a replica that runs one version has reached the first
// of some versions, which are in the order of their naming: it need not load that one, or it
// runs one that was named later.
func VersionReachedAnyOf(running string, named []namedweights.Version) bool {
	return VersionReached(running, named[0].Name) ||
		lo.ContainsBy(named, func(version namedweights.Version) bool { return version.Name == running })
}

// numericallyNewer reports whether both are numbers and the first is greater.
func numericallyNewer(version, than string) bool {
	a, errA := strconv.ParseUint(version, 10, 64)
	b, errB := strconv.ParseUint(than, 10, 64)
	return errA == nil && errB == nil && a > b
}

// sameInstance reports whether a row is about the incarnation that the list names.
func sameInstance(row *controlpb.ReplicaState, endpoint listing.Replica) bool {
	return row.GetInstance() == "" || endpoint.Instance == "" || row.GetInstance() == endpoint.Instance
}

// RunningVersion is the version of a replica that takes requests, from its row, if
// it has one, or else from the list, which lags behind rows; empty if unknown.
func RunningVersion(row *controlpb.ReplicaState, endpoint listing.Replica) string {
	if row == nil || !sameInstance(row, endpoint) || row.GetPhase() == controlpb.ReplicaPhase_LOADING {
		return endpoint.WeightVersion
	}
	if numericallyNewer(endpoint.WeightVersion, row.GetWeightVersion()) {
		return endpoint.WeightVersion
	}
	return row.GetWeightVersion()
}

// OutOfService reports whether a row keeps requests from a replica.
func OutOfService(row *controlpb.ReplicaState, endpoint listing.Replica) bool {
	return row != nil && sameInstance(row, endpoint) && row.GetPhase() != controlpb.ReplicaPhase_SERVING
}
