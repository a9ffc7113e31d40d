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

// Replica is a stand-in of a model replica, or of a web service if Model is empty. It answers
// as the pages say that a sound one does.
type Replica struct {
	ID, Service, Zone, Model string
	listener                 net.Listener
	record                   *Record
	mutex                    sync.Mutex
	version                  uint64
	sequence                 uint64
	arrivals                 []Arrival
	open                     map[net.Conn]bool
	// cached are the parts that the replica keeps, by salt and ID, and changes their events.
	cached  map[[2]string]part
	changes []string
	held    []string
}

// part is a kept part of a prompt.
type part struct {
	maker string
}

// NewReplica starts a replica on a free port of the loopback.
func NewReplica(record *Record, id, service, zone, model string) (*Replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, Service: service, Zone: zone, Model: model, listener: listener, record: record, version: 1, open: map[net.Conn]bool{}, cached: map[[2]string]part{}}
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
		return write(connection, 200, nil, r.events(request))
	case "/ridgeswitch/kv-list":
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return write(connection, 200, nil, fmt.Sprintf(`{"bootEpoch":7,"nextPageToken":%d,"held":[%s]}`, len(r.changes), strings.Join(r.held, ",")))
	}
	return r.run(connection, request)
}

// events answers a reader of what the replica keeps, after a wait if there is nothing new.
func (r *Replica) events(request *http.Request) string {
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
	until := time.Now().Add(time.Duration(min(max(wait, 0), 1000)) * time.Millisecond)
	for {
		r.mutex.Lock()
		changes := r.changes[min(max(since, 0), len(r.changes)):]
		text := fmt.Sprintf(`{"bootEpoch":7,"nextPageToken":%d,"lost":false,"events":[%s]}`, len(r.changes), strings.Join(changes, ","))
		r.mutex.Unlock()
		if len(changes) > 0 || !time.Now().Before(until) {
			return text
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// read reads the prompt of a request: it uses the parts that are kept under the request's salt
// from the first one on, and keeps the others. It returns the tenants whose requests made the
// parts that were used. The mutex is held.
func (r *Replica) read(request *http.Request) []string {
	salt, tenant := request.Header.Get("X-Ridgeswitch-Cache-Salt"), request.Header.Get("X-Ridgeswitch-Tenant-Id")
	var usedOf []string
	reuses := true
	for field := range strings.SplitSeq(request.Header.Get("X-Ridgeswitch-Prefix-Hash"), ",") {
		id, tokens, _ := strings.Cut(field, ":")
		kept, found := r.cached[[2]string{salt, id}]
		if reuses = reuses && found; reuses {
			usedOf = append(usedOf, kept.maker)
		}
		if !found {
			r.cached[[2]string{salt, id}] = part{maker: tenant}
			r.changes = append(r.changes, fmt.Sprintf(`[%d,"+",%q,%q,%s,%q]`, len(r.changes)+1, salt, id, tokens, r.Model))
			r.held = append(r.held, fmt.Sprintf(`[%q,%q,%s,%q]`, salt, id, tokens, r.Model))
		}
	}
	return usedOf
}

func (r *Replica) report() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return fmt.Sprintf(`{"stage":"unified","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":false,"sequence":%d,"waiting":0,"running":1,"kvUsed":100,"kvTotal":90000,"handles":0}`,
		r.Model, r.version, r.sequence)
}

func (r *Replica) order(connection net.Conn, request *http.Request, body []byte) bool {
	var order struct {
		Version uint64
		Token   uint64 `json:"fencingToken"`
		Holder  string
	}
	_ = json.Unmarshal(body, &order)
	r.record.Printf("order at %s: version %d holder %s token %d", r.ID, order.Version, order.Holder, order.Token)
	r.mutex.Lock()
	same := order.Version == r.version
	if !same {
		r.version = order.Version
		r.sequence++
	}
	r.mutex.Unlock()
	if same {
		return write(connection, 200, nil, "")
	}
	return write(connection, 202, nil, "")
}

// run works on a request at once.
func (r *Replica) run(connection net.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Ridgeswitch-Request-Id")
	header := map[string]string{"X-Ridgeswitch-Request-Id": id}
	expected, version := request.Header.Get("X-Ridgeswitch-Expect-Instance"), request.Header.Get("X-Ridgeswitch-Expect-Version")
	r.mutex.Lock()
	running := strconv.FormatUint(r.version, 10)
	r.mutex.Unlock()
	header["X-Ridgeswitch-Weight-Versions"] = running
	if expected != "" && expected != r.ID || version != "" && r.Model != "" && version != running {
		header["X-Ridgeswitch-Not-Executed"] = "1"
		return write(connection, 421, header, "")
	}
	if id == "" {
		return write(connection, 400, map[string]string{"X-Ridgeswitch-Not-Executed": "1"}, "")
	}
	tenant := request.Header.Get("X-Ridgeswitch-Tenant-Id")
	r.mutex.Lock()
	var usedOf []string
	if r.Model != "" {
		usedOf = r.read(request)
	}
	r.arrivals = append(r.arrivals, Arrival{
		ID: id, Replica: r.ID, Zone: r.Zone, Tenant: tenant, UsedOf: usedOf, Version: r.version, At: time.Now(),
	})
	r.mutex.Unlock()
	r.record.Printf("run at %s (%s, version %s): request %s of %s uses parts made by %v", r.ID, r.Zone, running, id, tenant, usedOf)
	header["X-Ridgeswitch-Response-Signature"] = Signature(id)
	return write(connection, 200, header, "answer to "+id)
}

// Signature is the signature that replicas put on the answer to a request.
func Signature(id string) string { return "signature." + id }

// write writes an answer with a length.
func write(connection net.Conn, status int, header map[string]string, body string) bool {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(connection, text.String())
	return err == nil
}
