package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// Intervals of the samples.
const (
	statusEvery    = 50 * time.Millisecond
	endpointsEvery = 100 * time.Millisecond
	versionEvery   = 250 * time.Millisecond
	// sampleTimeout bounds one sample.
	sampleTimeout = time.Second
)

// maxSampleBytes bounds the size of the response that is read for one sample.
const maxSampleBytes = 4 << 20

// Paths that are sampled.
const (
	statusPath   = "/v1/status"
	servicesPath = "/v1/services"
)

// Sampler samples a fleet through its HTTP interfaces: it polls each node, each replica and the
// platform in a goroutine of its own. It is safe for concurrent use.
type Sampler struct {
	// machines returns the current topology.
	machines func() *Topology
	clock    *Clock
	client   *http.Client

	// lock guards the samples.
	lock      sync.Mutex
	served    []checker.ServedSample
	versions  []checker.VersionSample
	endpoints []checker.EndpointSample
	// currentEndpoints contains the last sample of each replica, by address. At is 0 in
	// these samples, so that samples can be compared.
	currentEndpoints map[string]checker.EndpointSample
}

// NewSampler returns a sampler for a fleet.
func NewSampler(machines func() *Topology, clock *Clock) *Sampler {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	return &Sampler{
		machines: machines, clock: clock, currentEndpoints: make(map[string]checker.EndpointSample),
		client: &http.Client{Timeout: sampleTimeout, Transport: transport},
	}
}

// Run samples until the context ends.
func (sampler *Sampler) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, node := range sampler.machines().Nodes {
		running.Go(func() { repeat(ctx, statusEvery, func() { sampler.sampleStatus(ctx, node.Name) }) })
	}
	for _, member := range sampler.machines().Replicas.Members {
		running.Go(func() { repeat(ctx, versionEvery, func() { sampler.sampleVersion(ctx, member) }) })
	}
	running.Go(func() { repeat(ctx, endpointsEvery, func() { sampler.sampleEndpoints(ctx) }) })
	running.Wait()
	sampler.client.CloseIdleConnections()
}

// repeat samples at once, and then periodically until the context ends.
func repeat(ctx context.Context, every time.Duration, sample func()) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for ctx.Err() == nil {
		sample()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// sampleStatus reads which revision a node serves. The time of the sample is the time
// before the request; the node may have received the revision after that time.
func (sampler *Sampler) sampleStatus(ctx context.Context, name string) {
	node, _ := sampler.machines().Node(name)
	at := sampler.clock.Now()
	body, err := sampler.get(ctx, node.ControlAddress(), statusPath)
	if err != nil {
		return
	}
	status := &ridgeswitchv1.NodeStatus{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, status); err != nil {
		return
	}
	sampler.lock.Lock()
	defer sampler.lock.Unlock()
	sampler.served = append(sampler.served, checker.ServedSample{
		Node: node.Name, At: at,
		Revision: status.GetServedRevision(), Fenced: status.GetFenced(),
	})
}

// sampleVersion reads the weight version of a replica.
func (sampler *Sampler) sampleVersion(ctx context.Context, member Backend) {
	at := sampler.clock.Now()
	body, err := sampler.get(ctx, member.Address, replica.PathReport)
	if err != nil {
		return
	}
	var report replica.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return
	}
	sampler.lock.Lock()
	defer sampler.lock.Unlock()
	sampler.versions = append(sampler.versions, checker.VersionSample{
		Pool:    sampler.machines().Replicas.Pool,
		Replica: member.Address, At: at, WeightVersion: report.WeightVersion,
	})
}

// platformServices is the platform's list of services and their replicas.
type platformServices struct {
	Services []struct {
		Name     string `json:"name"`
		Replicas []struct {
			Address string `json:"address"`
			Zone    string `json:"zone"`
			State   string `json:"state"`
		} `json:"replicas"`
	} `json:"services"`
}

// stateDraining is the state of a replica that is about to be removed from the platform's list.
const stateDraining = "draining"

// sampleEndpoints reads the platform's list and records the changes. The time of a sample
// is the time after the response, when the list certainly contained the change.
func (sampler *Sampler) sampleEndpoints(ctx context.Context) {
	body, err := sampler.get(ctx, sampler.machines().Platform.Address, servicesPath)
	if err != nil {
		return
	}
	var shown platformServices
	if err := json.Unmarshal(body, &shown); err != nil {
		return
	}
	at := sampler.clock.Now()
	sampler.lock.Lock()
	defer sampler.lock.Unlock()
	present := make(map[string]bool)
	for _, service := range shown.Services {
		for _, entry := range service.Replicas {
			present[entry.Address] = true
			sampler.recordEndpoint(checker.EndpointSample{
				Service: service.Name, Replica: entry.Address, Zone: entry.Zone,
				Draining: entry.State == stateDraining,
			}, at)
		}
	}
	for address, sample := range sampler.currentEndpoints {
		if !present[address] {
			sample.Removed = true
			sampler.recordEndpoint(sample, at)
		}
	}
}

// recordEndpoint records a sample if it differs from the last one of its replica.
func (sampler *Sampler) recordEndpoint(sample checker.EndpointSample, at time.Duration) {
	sample.At = 0
	if last, known := sampler.currentEndpoints[sample.Replica]; known && last == sample {
		return
	}
	sampler.currentEndpoints[sample.Replica] = sample
	sample.At = at
	sampler.endpoints = append(sampler.endpoints, sample)
}

func (sampler *Sampler) get(ctx context.Context, address, path string) ([]byte, error) {
	return get(ctx, sampler.client, address, path, maxSampleBytes)
}

// get returns the body of a successful response, up to a number of bytes.
func get(ctx context.Context, client *http.Client, address, path string, maxBytes int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s%s answered with status %d", address, path, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	return body, errors.Wrapf(err, "read the response of %s%s", address, path)
}

// ReplicasRunning reports whether the newest version sample of every listed replica that
// is not draining has the given weight version. Replicas without a version sample are
// ignored; without any version sample, it returns false.
func (sampler *Sampler) ReplicasRunning(version string) bool {
	sampler.lock.Lock()
	defer sampler.lock.Unlock()
	newest := make(map[string]string)
	for _, sample := range sampler.versions {
		newest[sample.Replica] = sample.WeightVersion
	}
	for address, running := range newest {
		endpoint, known := sampler.currentEndpoints[address]
		counts := known && !endpoint.Draining && !endpoint.Removed
		if counts && running != version {
			return false
		}
	}
	return len(newest) > 0
}

// Fill appends the samples to the records of a run.
func (sampler *Sampler) Fill(records *checker.Records) {
	sampler.lock.Lock()
	defer sampler.lock.Unlock()
	records.Served = append(records.Served, sampler.served...)
	records.Versions = append(records.Versions, sampler.versions...)
	records.Listings = append(records.Listings, sampler.endpoints...)
}
