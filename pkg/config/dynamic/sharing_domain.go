package dynamic

import (
	"fmt"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// SharingDomain separates cached prompt chunks: two requests may share them only
// when their domains are equal. All tenants that are not walled share one
// domain, which is renewed whenever one of them leaves; each walled tenant has
// its own, renewed whenever its wall goes up. A name that is not configured
// gets a domain that no tenant has.
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

// assignEpochs sets the fields by which sharing domains are renewed in a
// configuration that is to follow another one. A tenant that is new, or whose
// wall flips, gets the new revision as its wall epoch. The shared epoch becomes
// the new revision when a tenant of the shared domain is walled or removed, so
// that nothing made for it is reused by those who stay.
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
