// Package fleet has the stand-ins of the review's scripts: replicas, the platform's list, the
// operator and clients, and the start and end of the project's own processes.
package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that a replica began to work on.
type Arrival struct {
	ID      string
	Replica string
	Zone    string
	Tenant  string
	// UsedOf are the tenants whose requests made the parts that this one used.
	UsedOf  []string
	Version uint64
	At      time.Time
}

// Replica is a stand-in of a model replica. It answers as the pages say that a sound one does.
type Replica struct {
	ID, Service, Zone, Model string
	listener                 net.Listener
	record                   *Record
	mutex                    sync.Mutex
	version                  uint64
	sequence                 uint64
	arrivals                 []Arrival
	open                     map[net.Conn]bool
	// listed is the version as the platform's list shows it, and loading means that an order
	// is under way.
	listed  uint64
	loading bool
	// readers counts the calls for events that are held.
	readers int
	// cached are the parts that the replica keeps, by salt and ID, and changes their events.
	cached  map[[2]string]*part
	tokens  int
	uses    int
	changes []string
}

// The figures of a replica, as the documents of the scripts and the pages give them.
const (
	capacity    = 164044
	maxInFlight = 12
	loadTime    = 1100 * time.Millisecond
	listLag     = 800 * time.Millisecond
	// prefill is the time to the first event, step that between two events, and events how
	// many there are.
	prefill = 20 * time.Millisecond
	step    = 5 * time.Millisecond
	events  = 4
)

// part is a kept part of a prompt.
type part struct {
	maker    string
	tokens   int
	lastUsed int
}

// NewReplica starts a replica on a free port of the loopback.
func NewReplica(record *Record, id, service, zone, model string) (*Replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, Service: service, Zone: zone, Model: model, listener: listener, record: record, version: 1, listed: 1, open: map[net.Conn]bool{}, cached: map[[2]string]*part{}}
	go r.accept()
	return r, nil
}

// Address is the replica's address.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Arrivals are the requests that have run so far.
func (r *Replica) Arrivals() []Arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// Close ends the replica.
func (r *Replica) Close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for connection := range r.open {
		_ = connection.Close()
	}
}

func (r *Replica) accept() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		r.open[connection] = true
		r.mutex.Unlock()
		go r.serve(connection)
	}
}

func (r *Replica) serve(connection net.Conn) {
	defer func() {
		_ = connection.Close()
		r.mutex.Lock()
		delete(r.open, connection)
		r.mutex.Unlock()
	}()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !r.respond(connection, request, body) {
			return
		}
	}
}

func (r *Replica) respond(connection net.Conn, request *http.Request, body []byte) bool {
	switch request.URL.Path {
	case "/healthz":
		return write(connection, 200, map[string]string{"X-Ridgeswitch-Instance-Id": r.ID}, "")
	case "/ridgeswitch/report":
		return write(connection, 200, nil, r.report())
	case "/ridgeswitch/order":
		return r.order(connection, request, body)
	case "/ridgeswitch/kv-events":
		return r.events(connection, request)
	case "/ridgeswitch/kv-list":
		return write(connection, 200, nil, r.list())
	}
	return r.run(connection, request)
}

// events answers a reader of what the replica keeps, after a wait if there is nothing new.
func (r *Replica) events(connection net.Conn, request *http.Request) bool {
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
	until := time.Now().Add(time.Duration(min(max(wait, 0), 1000)) * time.Millisecond)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.readers == maxInFlight {
		return write(connection, 429, map[string]string{"Retry-After": "0.5"}, "")
	}
	r.readers++
	defer func() { r.readers-- }()
	for since >= len(r.changes) && time.Now().Before(until) {
		r.mutex.Unlock()
		time.Sleep(10 * time.Millisecond)
		r.mutex.Lock()
	}
	changes := r.changes[min(max(since, 0), len(r.changes)):]
	return write(connection, 200, nil, fmt.Sprintf(`{"bootEpoch":7,"nextPageToken":%d,"lost":false,"events":[%s]}`, len(r.changes), strings.Join(changes, ",")))
}

// list lists what the replica keeps.
func (r *Replica) list() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var held []string
	for name, kept := range r.cached {
		held = append(held, fmt.Sprintf(`[%q,%q,%d,%q]`, name[0], name[1], kept.tokens, r.Model))
	}
	return fmt.Sprintf(`{"bootEpoch":7,"nextPageToken":%d,"held":[%s]}`, len(r.changes), strings.Join(held, ","))
}

// read reads the prompt of a request: it uses the parts that are kept under the request's salt
// from the first one on, and keeps the others, in place of those used least recently. It returns
// the tenants whose requests made the parts that were used. The mutex is held.
func (r *Replica) read(request *http.Request) []string {
	salt, tenant := request.Header.Get("X-Ridgeswitch-Cache-Salt"), request.Header.Get("X-Ridgeswitch-Tenant-Id")
	var usedOf []string
	reuses := true
	for field := range strings.SplitSeq(request.Header.Get("X-Ridgeswitch-Prefix-Hash"), ",") {
		id, text, _ := strings.Cut(field, ":")
		tokens, _ := strconv.Atoi(text)
		name := [2]string{salt, id}
		kept, found := r.cached[name]
		if reuses = reuses && found; reuses {
			usedOf = append(usedOf, kept.maker)
		}
		if !found {
			kept = &part{maker: tenant, tokens: tokens}
			r.cached[name] = kept
			r.tokens += tokens
			r.change("+", name, tokens)
		}
		r.uses++
		kept.lastUsed = r.uses
	}
	for r.tokens > capacity {
		var oldest [2]string
		least := r.uses + 1
		for name, kept := range r.cached {
			if kept.lastUsed < least {
				oldest, least = name, kept.lastUsed
			}
		}
		r.drop(oldest)
	}
	return usedOf
}

// drop drops a part. The mutex is held.
func (r *Replica) drop(name [2]string) {
	r.tokens -= r.cached[name].tokens
	delete(r.cached, name)
	r.change("-", name, 0)
}

// change adds an event. The mutex is held.
func (r *Replica) change(sign string, name [2]string, tokens int) {
	r.changes = append(r.changes, fmt.Sprintf(`[%d,%q,%q,%q,%d,%q]`, len(r.changes)+1, sign, name[0], name[1], tokens, r.Model))
}

func (r *Replica) report() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return fmt.Sprintf(`{"stage":"unified","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":%t,"sequence":%d,"waiting":0,"running":1,"kvUsed":100,"kvTotal":%d,"handles":0}`,
		r.Model, r.version, r.loading, r.sequence, capacity)
}

// order takes an order to load weights, with method queue.
func (r *Replica) order(connection net.Conn, request *http.Request, body []byte) bool {
	var order struct {
		Op       string
		Model    string
		Version  uint64
		Token    uint64 `json:"fencingToken"`
		Holder   string
		Expected *uint64
	}
	err := json.Unmarshal(body, &order)
	r.record.Printf("order at %s: version %d holder %s token %d", r.ID, order.Version, order.Holder, order.Token)
	expected := request.Header.Get("X-Ridgeswitch-Expect-Instance")
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case expected != "" && expected != r.ID:
		return write(connection, 421, nil, "")
	case err != nil || order.Op != "version" || order.Model != r.Model || order.Holder == "" || order.Token == 0:
		return write(connection, 400, nil, "")
	case r.loading || order.Expected != nil && *order.Expected != r.sequence:
		return write(connection, 409, nil, "")
	case order.Version == r.version:
		return write(connection, 200, nil, "")
	}
	r.sequence++
	r.loading = true
	time.AfterFunc(loadTime, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.version, r.loading = order.Version, false
		for name := range r.cached {
			r.drop(name)
		}
	})
	time.AfterFunc(loadTime+listLag, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.listed = order.Version
	})
	return write(connection, 202, nil, "")
}

// run works on a request, whose answer is a stream of events.
func (r *Replica) run(connection net.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Ridgeswitch-Request-Id")
	header := map[string]string{"X-Ridgeswitch-Request-Id": id}
	expected, version := request.Header.Get("X-Ridgeswitch-Expect-Instance"), request.Header.Get("X-Ridgeswitch-Expect-Version")
	tenant := request.Header.Get("X-Ridgeswitch-Tenant-Id")
	r.mutex.Lock()
	running, status := strconv.FormatUint(r.version, 10), 0
	switch {
	case id == "":
		status = 400
	case expected != "" && expected != r.ID, version != "" && version != running:
		status = 421
	case r.loading:
		status = 503
	}
	var usedOf []string
	if status == 0 {
		usedOf = r.read(request)
		r.arrivals = append(r.arrivals, Arrival{
			ID: id, Replica: r.ID, Zone: r.Zone, Tenant: tenant, UsedOf: usedOf, Version: r.version, At: time.Now(),
		})
	}
	r.mutex.Unlock()
	header["X-Ridgeswitch-Weight-Versions"] = running
	if status != 0 {
		header["X-Ridgeswitch-Not-Executed"] = "1"
		return write(connection, status, header, "")
	}
	r.record.Printf("run at %s (%s, version %s): request %s of %s uses parts made by %v", r.ID, r.Zone, running, id, tenant, usedOf)
	header["X-Ridgeswitch-Response-Signature"] = Signature(id)
	header["Content-Type"] = "text/event-stream"
	header["Transfer-Encoding"] = "chunked"
	text := head(200, header)
	time.Sleep(prefill)
	for number := 1; number <= events; number++ {
		event := fmt.Sprintf("id: %d\ndata: tokens %d of %s\n\n", number, number, id)
		if _, err := fmt.Fprintf(connection, "%s%x\r\n%s\r\n", text, len(event), event); err != nil {
			return false
		}
		text = ""
		time.Sleep(step)
	}
	_, err := io.WriteString(connection, "0\r\n\r\n")
	return err == nil
}

// Signature is the signature that replicas put on the answer to a request.
func Signature(id string) string { return "signature." + id }

// head is the head of an answer.
func head(status int, header map[string]string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	return text.String() + "\r\n"
}

// write writes an answer with a length.
func write(connection net.Conn, status int, header map[string]string, body string) bool {
	framed := map[string]string{"Content-Length": strconv.Itoa(len(body))}
	for name, value := range header {
		framed[name] = value
	}
	_, err := io.WriteString(connection, head(status, framed)+body)
	return err == nil
}
