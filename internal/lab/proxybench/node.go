package proxybench

import (
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/sirupsen/logrus"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

const (
	host       = "models.example"
	tenantKey  = "bench-key"
	tenantName = "bench"
	poolName   = "pool"
	model      = "large"
	zone       = "a"
)

// fixedSource is control state that never changes.
type fixedSource struct {
	view *routing.View
}

// View implements routing.Source.
func (s fixedSource) View() *routing.View { return s.view }

// Serving implements routing.Source.
func (fixedSource) Serving() error { return nil }

// newView returns control state of one pool and one tenant without limits.
func newView(addresses []string) *routing.View {
	pool := &routing.Pool{Config: &ridgeswitchv1.Pool{Name: poolName, Model: model}}
	for _, address := range addresses {
		pool.Replicas = append(pool.Replicas, routing.Replica{
			Address: address, Zone: zone, WeightVersion: weightVersion, Admitting: true,
		})
	}
	digest := sha256.Sum256([]byte(tenantKey))
	tenant := &routing.Tenant{Name: tenantName, SharingDomain: "shared", Limits: &ridgeswitchv1.Limits{}}
	return &routing.View{
		Revision: 1,
		Tenants:  map[routing.KeyDigest]*routing.Tenant{routing.KeyDigest(hex.EncodeToString(digest[:])): tenant},
		Hosts:    map[string]routing.Routes{host: {routing.NewRoute(&ridgeswitchv1.Route{}, routing.Choice{Destination: routing.Destination{Pool: pool}})}},
		Pools:    map[string]*routing.Pool{poolName: pool},
	}
}

// startNode starts a node's data plane and waits until it listens.
//
// The replicas are warm: slow start would refuse what the bench is to measure.
func startNode(addresses []string, connections int) (*dataplane.Server, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server, err := dataplane.New(dataplane.Options{
		Node:    "bench",
		Zone:    zone,
		Address: listenAddress,
		Source:  fixedSource{view: newView(addresses)},
		Clock:   clock.SinceBoot,
		Log:     logrus.NewEntry(log),
		Router:  kvrouter.Options{SlowStartInitial: connections},
	})
	if err != nil {
		return nil, err
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Start() }()
	select {
	case err := <-failed:
		return nil, err
	case <-server.Listening():
		return server, nil
	}
}
