package sim

import (
	"fmt"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// keyring holds the keys that callers use, in force or not.
type keyring struct {
	keys []tenantKey
}

type tenantKey struct {
	tenant string
	name   string
	digest routing.KeyDigest
}

// add makes a key that callers use from now on, whether or not an order puts it in
// force.
func (k *keyring) add(tenant string) *ridgeswitchv1.Key {
	name := fmt.Sprintf("key-%d", len(k.keys))
	digest := dynamic.KeyDigest(name)
	k.keys = append(k.keys, tenantKey{tenant: tenant, name: name, digest: routing.KeyDigest(digest)})
	return &ridgeswitchv1.Key{Name: name, Sha256: digest}
}
