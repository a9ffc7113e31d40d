package exampleday

import (
	"io"
	"time"

	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/bench"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/player"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

const (
	// node is what the header names.
	node = "example"
	// completedStatus is the status of every made-up answer.
	completedStatus = 200
	// webResponseTime is how long every made-up fetch from a web service took.
	webResponseTime = 20 * time.Millisecond
)

// Started is the beginning of every made-up day.
var Started = time.Date(2026, time.March, 2, 0, 0, 0, 0, time.UTC)

// Options choose a day.
type Options struct {
	Seed uint64
	// Configuration gives the names of the first pool, the first web service and
	// their hosts.
	Configuration *ridgeswitchv1.Configuration
	Mix           workload.Mix
	// ModelRequests is about how many requests go to the pool. The web service
	// gets as many more as the mix has it.
	ModelRequests int
	// Length of the day.
	Length time.Duration
	// Speed is at how many times the day's pace the emulated fleet answers: a day
	// that is thinned to one request in a hundred has its true load at 100.
	Speed float64
}

// destination is where requests go.
type destination struct {
	host  string
	name  string
	model string
}

// Write makes the day and writes its recording.
func Write(target io.Writer, options Options) error {
	records, err := Generate(options)
	if err != nil {
		return err
	}
	writer, err := recording.NewWriter(target, recording.NewHeader(node, Started))
	if err != nil {
		return err
	}
	for _, record := range records {
		if err := writer.Write(record); err != nil {
			return err
		}
	}
	return nil
}

// Generate makes the records of the day, in the order of their arrival.
func Generate(options Options) ([]recording.Record, error) {
	if options.ModelRequests <= 0 || options.Length <= 0 {
		return nil, errors.New("a day needs a positive number of requests and a positive length")
	}
	pool, web, err := destinations(options.Configuration)
	if err != nil {
		return nil, err
	}
	rate := float64(options.ModelRequests) / options.Length.Seconds()
	stream, err := workload.New(options.Mix, workload.Options{
		Seed:      options.Seed,
		Duration:  options.Length,
		ModelRate: rate,
		WebRate:   rate * options.Mix.WebRate / options.Mix.ModelRate,
	})
	if err != nil {
		return nil, err
	}
	var records []recording.Record
	for {
		request, more := stream.Next()
		if !more {
			break
		}
		record := asRecord(request, pool, web)
		record.AtUS = warp(request.At, options.Length).Microseconds()
		records = append(records, record)
	}
	return records, fillOutcomes(records, options)
}

// destinations finds the names of what the requests go to.
func destinations(configuration *ridgeswitchv1.Configuration) (pool, web destination, err error) {
	if len(configuration.GetPools()) == 0 || len(configuration.GetWebServices()) == 0 {
		return pool, web, errors.New("the configuration has no pool or no web service: give one that has both")
	}
	pool = destination{name: configuration.GetPools()[0].GetName(), model: configuration.GetPools()[0].GetModel()}
	web = destination{name: configuration.GetWebServices()[0].GetName()}
	for _, route := range configuration.GetRoutes() {
		if route.GetPool() == pool.name && pool.host == "" {
			pool.host = route.GetHost()
		}
		if route.GetWebService() == web.name && web.host == "" {
			web.host = route.GetHost()
		}
	}
	if pool.host == "" || web.host == "" {
		return pool, web, errors.New("the configuration has no route to its first pool or web service: add one")
	}
	return pool, web, nil
}

func asRecord(request workload.Request, pool, web destination) recording.Record {
	record := recording.Record{
		Tenant:       request.Tenant,
		Repeatable:   request.Repeatable,
		Streamed:     request.Streamed,
		DeadlineMS:   request.Deadline.Milliseconds(),
		OutputTokens: request.OutputTokens,
		Outcome:      recording.Completed,
		Status:       completedStatus,
		Attempts:     1,
	}
	if request.Web {
		record.Host, record.WebService = web.host, web.name
		record.FirstUS, record.TotalUS = webResponseTime.Microseconds(), webResponseTime.Microseconds()
		return record
	}
	record.Host, record.Pool, record.Model = pool.host, pool.name, pool.model
	record.Chunks = recording.Chunks(request.Chunks)
	return record
}

// fillOutcomes sets the outcomes that the emulated fleet gives the model
// requests.
func fillOutcomes(records []recording.Record, options Options) error {
	var positions []int
	var modelRecords []recording.Record
	for position, record := range records {
		if record.Pool != "" {
			positions = append(positions, position)
			modelRecords = append(modelRecords, record)
		}
	}
	settings := bench.DefaultSettings(options.Mix, options.Seed)
	played, err := player.Emulate(modelRecords, player.Selection{Speed: options.Speed}, settings, bench.PolicyKV)
	if err != nil {
		return err
	}
	for order, sample := range played.Samples {
		record := &records[positions[order]]
		record.ReusedTokens = sample.ReusedTokens
		record.FirstUS = sample.Total.Microseconds()
		if record.Streamed {
			record.FirstUS = sample.FirstToken.Microseconds()
		}
		record.TotalUS = sample.Total.Microseconds()
		record.Attempts = 1 + sample.Retries
	}
	return nil
}
