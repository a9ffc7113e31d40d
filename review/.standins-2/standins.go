package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// list is the platform's list of instances.
type list struct {
	address string
	mutex   sync.Mutex
	entries []map[string]any
}

func newList(address string) *list {
	l := &list{address: address}
	listener, err := net.Listen("tcp", address)
	must(err)
	go func() { _ = http.Serve(listener, l) }()
	return l
}

// set replaces the list.
func (l *list) set(entries []map[string]any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries = entries
}

// ServeHTTP serves GET /instances.
func (l *list) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/instances" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	l.mutex.Lock()
	text, err := json.Marshal(map[string]any{"instances": l.entries, "nextPageToken": nil})
	l.mutex.Unlock()
	must(err)
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(text)
}

// run is a request that began to run on a replica.
type run struct {
	id, replica, tenant, salt string
	version                   int
	at                        time.Time
	body                      int
}

// replica is a replica with weights of a model, or one of a web service if model is empty.
type replica struct {
	id, service, address, zone, model string
	slots                             int
	// work is how long a request runs. events is the number of events of a stream.
	work   time.Duration
	events int
	load   time.Duration
	record *record

	mutex    sync.Mutex
	version  int
	loading  bool
	named    func() int
	sequence int
	running  int
	state    string
	runs     []run
	orders   []string
	arrivals int
	fault    func(writer http.ResponseWriter, request *http.Request, body []byte) bool
	server   *http.Server
	idle     *sync.Cond
}

// newReplica starts a replica. named returns the newest version that was named, and is only
// asked whether a version was named.
func (d *deployment) newReplica(number int, service, model, zone string) *replica {
	r := &replica{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), service: service, model: model, zone: zone,
		address: fmt.Sprintf("%s.%d:18080", d.net, 100+number), slots: 64, work: 50 * time.Millisecond, events: 5,
		load: 1100 * time.Millisecond, version: 1, state: "ready", record: d.record,
	}
	r.idle = sync.NewCond(&r.mutex)
	listener, err := net.Listen("tcp", r.address)
	must(err)
	r.server = &http.Server{Handler: r, IdleTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	d.replicas = append(d.replicas, r)
	return r
}

// entry is the replica's entry in the list.
func (r *replica) entry() map[string]any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry := map[string]any{
		"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "coldRemainingMs": 0,
	}
	if r.model != "" {
		entry["stage"] = "unified"
		entry["models"] = []any{map[string]any{"name": r.model, "version": r.version, "adapters": []any{}}}
	}
	return entry
}

// publish keeps the list up to date, 800 ms behind.
func (d *deployment) publish() {
	update := func() {
		var entries []map[string]any
		for _, one := range d.replicas {
			entries = append(entries, one.entry())
		}
		time.AfterFunc(800*time.Millisecond, func() { d.list.set(entries) })
	}
	var entries []map[string]any
	for _, one := range d.replicas {
		entries = append(entries, one.entry())
	}
	d.list.set(entries)
	go func() {
		for {
			update()
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func answerJSON(writer http.ResponseWriter, status int, document any) {
	text, err := json.Marshal(document)
	must(err)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	_, _ = writer.Write(text)
}

// ServeHTTP serves one request of any kind.
func (r *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	expected := request.Header.Get("X-Ridgeswitch-Expect-Instance")
	id := request.Header.Get("X-Ridgeswitch-Request-Id")
	if id != "" {
		writer.Header().Set("X-Ridgeswitch-Request-Id", id)
	}
	if expected != "" && expected != r.id {
		writer.Header().Set("X-Ridgeswitch-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/healthz":
		writer.Header().Set("X-Ridgeswitch-Instance-Id", r.id)
		writer.WriteHeader(http.StatusOK)
	case "/ridgeswitch/report":
		r.mutex.Lock()
		report := map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": r.model, "version": r.version, "adapters": []any{}}},
			"busy": r.loading, "sequence": r.sequence, "waiting": 0, "running": r.running, "kvUsed": 0, "kvTotal": 164044, "handles": 0,
		}
		r.mutex.Unlock()
		answerJSON(writer, http.StatusOK, report)
	case "/ridgeswitch/order":
		r.order(writer, body)
	case "/ridgeswitch/kv-events":
		if wait, err := strconv.Atoi(request.Header.Get("Wait-Ms")); err == nil {
			select {
			case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
			case <-request.Context().Done():
				return
			}
		}
		answerJSON(writer, http.StatusOK, map[string]any{"bootEpoch": 77120, "nextPageToken": 0, "lost": false, "events": []any{}})
	case "/ridgeswitch/kv-list":
		answerJSON(writer, http.StatusOK, map[string]any{"bootEpoch": 77120, "nextPageToken": 0, "held": []any{}})
	default:
		r.execute(writer, request, id, body)
	}
}

// order takes an order to load weights. Running requests end first.
func (r *replica) order(writer http.ResponseWriter, body []byte) {
	var order struct {
		Op, Model, Holder string
		Version           int
		FencingToken      uint64
		Expected          *int
	}
	err := json.Unmarshal(body, &order)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	status := http.StatusAccepted
	switch {
	case err != nil || order.Op != "version" || order.Holder == "" || order.FencingToken == 0 || order.Model != r.model || r.named != nil && order.Version > r.named():
		status = http.StatusBadRequest
	case r.loading || order.Expected != nil && *order.Expected != r.sequence:
		status = http.StatusConflict
	case order.Version == r.version:
		status = http.StatusOK
	}
	r.orders = append(r.orders, string(body))
	r.record.line("order at %s (%s): %s -> %d", r.id, r.service, body, status)
	writer.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	r.sequence++
	r.loading = true
	go func() {
		r.mutex.Lock()
		for r.running > 0 {
			r.idle.Wait()
		}
		r.mutex.Unlock()
		time.Sleep(r.load)
		r.mutex.Lock()
		r.version, r.loading = order.Version, false
		r.mutex.Unlock()
		r.record.line("%s (%s) now has version %d", r.id, r.service, order.Version)
	}()
}

// refusal returns the status with which a request is refused, or 0.
func (r *replica) refusal(request *http.Request, id string) int {
	version := request.Header.Get("X-Ridgeswitch-Expect-Version")
	switch {
	case version != "" && version != strconv.Itoa(r.version):
		return http.StatusMisdirectedRequest
	case id == "":
		return http.StatusBadRequest
	case r.loading || r.running >= r.slots:
		return http.StatusServiceUnavailable
	}
	return 0
}

// execute runs a client's request.
func (r *replica) execute(writer http.ResponseWriter, request *http.Request, id string, body []byte) {
	r.mutex.Lock()
	r.arrivals++
	if refused := r.refusal(request, id); refused != 0 {
		r.mutex.Unlock()
		writer.Header().Set("X-Ridgeswitch-Not-Executed", "1")
		writer.WriteHeader(refused)
		return
	}
	r.running++
	version, fault := r.version, r.fault
	one := run{
		id: id, replica: r.id, tenant: request.Header.Get("X-Ridgeswitch-Tenant-Id"), salt: request.Header.Get("X-Ridgeswitch-Cache-Salt"),
		version: version, at: time.Now(), body: len(body),
	}
	r.runs = append(r.runs, one)
	r.mutex.Unlock()
	r.record.line("run of %s at %s (%s), version %d, tenant %q, %d bytes", id, r.id, r.service, version, one.tenant, one.body)
	defer func() {
		r.mutex.Lock()
		r.running--
		r.idle.Broadcast()
		r.mutex.Unlock()
	}()
	if fault != nil && fault(writer, request, body) {
		return
	}
	writer.Header().Set("X-Ridgeswitch-Response-Signature", "s."+r.id+"."+id)
	if r.model == "" {
		if !wait(request, r.work) {
			return
		}
		text := "answer to " + id
		writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(writer, text)
		return
	}
	writer.Header().Set("X-Ridgeswitch-Weight-Versions", strconv.Itoa(version))
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= r.events; number++ {
		if !wait(request, r.work/time.Duration(r.events)) {
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: event %d of %s\n\n", number, number, id)
		_ = http.NewResponseController(writer).Flush()
	}
}

// wait waits for a time, and reports false if the connection was closed before.
func wait(request *http.Request, length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-request.Context().Done():
		return false
	}
}

// allRuns returns the runs of all replicas.
func (d *deployment) allRuns() []run {
	var runs []run
	for _, one := range d.replicas {
		one.mutex.Lock()
		runs = append(runs, one.runs...)
		one.mutex.Unlock()
	}
	return runs
}
