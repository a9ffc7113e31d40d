package rollout

import (
	"strconv"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
)

// Weight versions are labels. Labels that are whole numbers are compared as numbers, so
// that a replica which runs a newer version than the named one is not updated.

// VersionReached reports whether a replica that runs one version need not load the named
// one. If the running version is unknown, it has not reached any version. If no version is
// named, any known version suffices.
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
// of some versions, which are in the order in which they were named: the replica need not load
// that version, or it runs one that was named later.
func VersionReachedAnyOf(running string, named []namedweights.Version) bool {
	return VersionReached(running, named[0].Name) ||
		lo.ContainsBy(named, func(version namedweights.Version) bool { return version.Name == running })
}

// numericallyNewer reports whether both versions are numbers and the first one is greater.
func numericallyNewer(version, than string) bool {
	a, errA := strconv.ParseUint(version, 10, 64)
	b, errB := strconv.ParseUint(than, 10, 64)
	return errA == nil && errB == nil && a > b
}

// sameInstance reports whether a row belongs to the incarnation that the platform's list
// names. A row or a list without a name matches any incarnation.
func sameInstance(row *controlpb.ReplicaState, endpoint listing.Replica) bool {
	return row.GetInstance() == "" || endpoint.Instance == "" || row.GetInstance() == endpoint.Instance
}

// RunningVersion returns the version that a replica runs; empty if unknown. A row takes
// precedence over the platform's list, which is updated later than rows. The list is used if
// there is no row for the incarnation, if the replica is LOADING, or if the list shows a
// greater version number.
func RunningVersion(row *controlpb.ReplicaState, endpoint listing.Replica) string {
	if row == nil || !sameInstance(row, endpoint) || row.GetPhase() == controlpb.ReplicaPhase_LOADING {
		return endpoint.WeightVersion
	}
	if numericallyNewer(endpoint.WeightVersion, row.GetWeightVersion()) {
		return endpoint.WeightVersion
	}
	return row.GetWeightVersion()
}

// OutOfService reports whether a replica gets no requests because of its row.
func OutOfService(row *controlpb.ReplicaState, endpoint listing.Replica) bool {
	return row != nil && sameInstance(row, endpoint) && row.GetPhase() != controlpb.ReplicaPhase_SERVING
}
