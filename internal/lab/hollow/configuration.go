package hollow

import (
	"fmt"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

const (
	keysPerTenant    = 2
	weightVersion    = "v1"
	requestTimeoutMS = 60_000
)

// configuration is what the operators of a hollow deployment apply first.
func configuration(settings Settings) *ridgeswitchv1.Configuration {
	complete := &ridgeswitchv1.Configuration{}
	for number := range settings.Tenants {
		complete.Tenants = append(complete.Tenants, tenant(number))
	}
	for pool := range settings.pools() {
		complete.Pools = append(complete.Pools, &ridgeswitchv1.Pool{
			Name:             serviceName(pool),
			Model:            serviceName(pool),
			Service:          serviceName(pool),
			WeightVersion:    weightVersion,
			RequestTimeoutMs: requestTimeoutMS,
			Routing:          &ridgeswitchv1.Routing{},
		})
		complete.Routes = append(complete.Routes, &ridgeswitchv1.Route{
			Host:        serviceName(pool) + ".hollow.example",
			Destination: &ridgeswitchv1.Route_Pool{Pool: serviceName(pool)},
		})
	}
	return complete
}

func tenantName(number int) string { return fmt.Sprintf("tenant-%05d", number) }

// tenant returns a tenant with its keys; one in four is walled.
func tenant(number int) *ridgeswitchv1.Tenant {
	name := tenantName(number)
	entry := &ridgeswitchv1.Tenant{
		Name:   name,
		Walled: number%4 == 0,
		Limits: &ridgeswitchv1.Limits{
			RequestsPerSecond:  20,
			Burst:              40,
			ConcurrentRequests: 24,
			QueuedRequests:     24,
			QueueTimeoutMs:     2000,
		},
	}
	for key := range keysPerTenant {
		entry.Keys = append(entry.Keys, keyNamed(name, fmt.Sprint("key-", key)))
	}
	return entry
}

func keyNamed(tenant, name string) *ridgeswitchv1.Key {
	return &ridgeswitchv1.Key{Name: name, Sha256: dynamic.KeyDigest(tenant + "/" + name)}
}

// firstOrder is the order that applies the complete configuration.
func firstOrder(settings Settings) (*controlpb.Order, error) {
	return dynamic.OrderFromRequest(&ridgeswitchv1.ApplyConfigurationRequest{
		Order:         &ridgeswitchv1.OrderHeader{OrderId: "hollow-first"},
		Configuration: configuration(settings),
	})
}

// changeOrder is the order of a numbered change: one more key of a tenant.
func changeOrder(settings Settings, number int) (*controlpb.Order, error) {
	name := tenantName(number % settings.Tenants)
	return dynamic.OrderFromRequest(&ridgeswitchv1.AddKeyRequest{
		Order:  &ridgeswitchv1.OrderHeader{OrderId: fmt.Sprint("hollow-change-", number)},
		Tenant: name,
		Key:    keyNamed(name, fmt.Sprint("change-", number)),
	})
}
