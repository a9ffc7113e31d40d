package dynamic

import (
	"slices"
	"strconv"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// modelWeights contains the newest weight version that was named for each model, for the
// MaxModelWeights models that were named last. With it, a pool that comes into the configuration,
// or returns to it, gets the version that was named for its model before. The versions are whole
// numbers and only rise.
type modelWeights struct {
	// oldestFirst contains each model once, ordered by when its version was named.
	oldestFirst []*controlpb.ModelWeights
}

func newModelWeights(weights []*controlpb.ModelWeights) *modelWeights {
	return &modelWeights{oldestFirst: cloneModelWeights(weights)}
}

// record stores what an accepted order names for a model. From the order for a document it
// stores the versions of the configuration that the document replaces: a state of an earlier
// release has them in its pools alone.
func (w *modelWeights) record(before *ridgeswitchv1.Configuration, order *controlpb.Order) {
	if named := order.GetNameWeights(); named.GetModel() != "" {
		w.raise(named.GetModel(), named.GetWeightVersion())
	}
	if !order.GetApplyDocument().GetWeightsByModel() {
		return
	}
	for _, pool := range before.GetPools() {
		w.raise(pool.GetModel(), pool.GetWeightVersion())
	}
}

// raise stores a version of a model, unless it is no whole number or not above the stored one.
// If there are then more than MaxModelWeights models, the one that was named longest ago is
// forgotten.
func (w *modelWeights) raise(model, version string) {
	if !isHigherVersion(version, w.find(model)) {
		return
	}
	w.oldestFirst = slices.DeleteFunc(w.oldestFirst, func(stored *controlpb.ModelWeights) bool { return stored.GetModel() == model })
	w.oldestFirst = append(w.oldestFirst, &controlpb.ModelWeights{Model: model, WeightVersion: version})
	if len(w.oldestFirst) > MaxModelWeights {
		w.oldestFirst = slices.Delete(w.oldestFirst, 0, 1)
	}
}

// find returns the stored version of a model, or "".
func (w *modelWeights) find(model string) string {
	stored, _ := lo.Find(w.oldestFirst, func(stored *controlpb.ModelWeights) bool { return stored.GetModel() == model })
	return stored.GetWeightVersion()
}

// newest returns the newest version of a model, which is the stored one or that of a pool in
// force, or "" if there is none.
func (w *modelWeights) newest(model string, inForce *ridgeswitchv1.Configuration) string {
	newest := w.find(model)
	for _, pool := range inForce.GetPools() {
		if pool.GetModel() == model && isHigherVersion(pool.GetWeightVersion(), newest) {
			newest = pool.GetWeightVersion()
		}
	}
	return newest
}

// all returns copies of all versions, that of the model named longest ago first.
func (w *modelWeights) all() []*controlpb.ModelWeights { return cloneModelWeights(w.oldestFirst) }

// inheritWeights gives a pool the version that was named for its model before it came, unless
// there is none or the pool has a version of its own that is not lower.
func inheritWeights(pool *ridgeswitchv1.Pool, version string) {
	if version != "" && mayRaise(version, pool.GetWeightVersion()) {
		pool.WeightVersion, pool.WeightsInherited = version, true
	}
}

// isHigherVersion reports whether a version is a whole number, and above another one if that is
// a whole number too.
func isHigherVersion(version, than string) bool {
	if _, err := strconv.ParseUint(version, 10, 64); err != nil {
		return false
	}
	return mayRaise(version, than)
}

func cloneModelWeights(weights []*controlpb.ModelWeights) []*controlpb.ModelWeights {
	return lo.Map(weights, func(stored *controlpb.ModelWeights, _ int) *controlpb.ModelWeights { return proto.CloneOf(stored) })
}
