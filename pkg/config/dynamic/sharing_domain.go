package dynamic

import (
	"fmt"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// SharingDomain returns the sharing domain of a tenant. Two requests may share cached prompt
// chunks only if their domains are equal. All tenants that are not walled share one domain,
// which is replaced whenever one of them is walled or removed. Each walled tenant has a
// domain of its own, which is replaced whenever the tenant is walled again. A name that is
// not configured gets a domain that no tenant has.
func SharingDomain(configuration *ridgeswitchv1.Configuration, name string) string {
	tenant, found := lo.Find(configuration.GetTenants(), func(tenant *ridgeswitchv1.Tenant) bool {
		return tenant.GetName() == name
	})
	switch {
	case !found:
		return fmt.Sprintf("unknown/%s/%d", name, configuration.GetRevision())
	case tenant.GetWalled():
		return fmt.Sprintf("walled/%s/%d", name, tenant.GetWallEpoch())
	default:
		return fmt.Sprintf("shared/%d", configuration.GetSharedEpoch())
	}
}

// assignEpochs sets the epochs, which are part of the sharing domains, in the configuration
// that replaces the previous one. A tenant that is new, walled or unwalled gets the new
// revision as its wall epoch. The shared epoch becomes the new revision if a tenant of the
// shared domain is walled or removed, so that the remaining tenants reuse no chunks that were
// cached for that tenant.
func assignEpochs(previous, next *ridgeswitchv1.Configuration) {
	before := lo.KeyBy(previous.GetTenants(), (*ridgeswitchv1.Tenant).GetName)
	staysShared := make(map[string]bool, len(next.GetTenants()))
	for _, tenant := range next.GetTenants() {
		tenant.WallEpoch = next.GetRevision()
		old, known := before[tenant.GetName()]
		if known && old.GetWalled() == tenant.GetWalled() {
			tenant.WallEpoch = old.GetWallEpoch()
		}
		staysShared[tenant.GetName()] = !tenant.GetWalled()
	}
	next.SharedEpoch = previous.GetSharedEpoch()
	for _, old := range previous.GetTenants() {
		if !old.GetWalled() && !staysShared[old.GetName()] {
			next.SharedEpoch = next.GetRevision()
		}
	}
}
