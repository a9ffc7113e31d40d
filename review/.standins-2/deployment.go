package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// deployment is a small deployment: processes of the system, and stand-ins for all others.
type deployment struct {
	root, program string
	folder        string
	net           string
	zones         []string
	frontMemoryMB int
	cores, fronts []*machine
	list          *list
	replicas      []*replica
	record        *record
	began         time.Time
}

// record is the file with what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to standard output.
func (d *deployment) say(format string, arguments ...any) {
	d.record.line(format, arguments...)
	fmt.Printf("%9.3f  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, arguments...))
}

var cleanups []func()

// exit ends all that was started, and the process.
func exit(status int) {
	for position := len(cleanups) - 1; position >= 0; position-- {
		cleanups[position]()
	}
	os.Exit(status)
}

// fail ends the run because the case could not run.
func fail(format string, arguments ...any) {
	fmt.Printf("could not run: "+format+"\n", arguments...)
	exit(2)
}

func must(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// newDeployment prepares a deployment that is not started.
func newDeployment(cores, fronts int) *deployment {
	root, err := filepath.Abs(os.Getenv("ROOT"))
	must(err)
	folder, err := os.MkdirTemp("", "review-")
	must(err)
	if os.Getenv("KEEP") == "" {
		cleanups = append(cleanups, func() { _ = os.RemoveAll(folder) })
	} else {
		fmt.Println("folder", folder)
	}
	file, err := os.Create(os.Getenv("RECORD"))
	must(err)
	d := &deployment{
		root: root, program: filepath.Join(root, "target/ridgeswitch-platform"), folder: folder, net: network(),
		zones: []string{"hall-north", "hall-harbor", "hall-quad"}, frontMemoryMB: 284,
		began: time.Now(),
	}
	d.record = &record{file: file, began: d.began}
	d.list = newList(fmt.Sprintf("%s.200:18784", d.net))
	for number := range cores {
		d.cores = append(d.cores, d.machine("core", number, true))
	}
	for number := range fronts {
		d.fronts = append(d.fronts, d.machine("front", number, false))
	}
	return d
}

func (d *deployment) machine(class string, number int, core bool) *machine {
	last := 10 + number
	if !core {
		last = 50 + number
	}
	name := fmt.Sprintf("%s-%d", class, number+1)
	folder := filepath.Join(d.folder, name)
	must(os.MkdirAll(folder, 0o700))
	one := &machine{
		name: name, ip: fmt.Sprintf("%s.%d", d.net, last), zone: d.zones[number%len(d.zones)], core: core,
		folder: folder, bootstrap: true,
	}
	cleanups = append(cleanups, one.kill)
	return one
}

func (d *deployment) seeds() []string {
	var seeds []string
	for _, one := range d.cores {
		if len(seeds) < 3 {
			seeds = append(seeds, one.control())
		}
	}
	return seeds
}

// startAll starts all processes.
func (d *deployment) startAll() {
	for _, one := range append(append([]*machine{}, d.cores...), d.fronts...) {
		one.start(d)
	}
}

// waitReady waits until all fronts call themselves ready.
func (d *deployment) waitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, one := range d.fronts {
		for !isReady(one) {
			if time.Now().After(deadline) {
				fail("%s is not ready", one.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.say("all fronts are ready")
}

func isReady(one *machine) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + one.ready() + "/ridgeswitch/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call makes one call of the operator at a node, following two redirects.
func call(address, method, path, base string, body []byte, limit time.Duration) (int, []byte, error) {
	target := "http://" + address + path
	client := http.Client{Timeout: limit, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for range 3 {
		request, err := http.NewRequest(method, target, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		if base != "" {
			request.Header.Set("X-Ridgeswitch-Base-Version", base)
		}
		response, err := client.Do(request)
		if err != nil {
			return 0, nil, err
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, text, nil
		}
		target = response.Header.Get("Location")
	}
	return 0, nil, fmt.Errorf("too many redirects")
}

// order makes a call of the operator again and again, at one core node after the other, until
// it has a clear answer.
func (d *deployment) order(what, method, path, base string, body []byte, limit time.Duration) int {
	deadline := time.Now().Add(limit)
	wait := 100 * time.Millisecond
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		node := d.cores[attempt%len(d.cores)]
		status, text, err := call(node.control(), method, path, base, body, time.Second)
		if err == nil {
			d.say("operator: %s at %s: %d %.120s", what, node.name, status, text)
			if status < 500 && status != 408 && status != 429 {
				return status
			}
		} else {
			d.say("operator: %s at %s: %v", what, node.name, err)
		}
		time.Sleep(wait)
		wait = min(wait*2, time.Second)
	}
	return 0
}

// configure sends a configuration until it is acknowledged.
func (d *deployment) configure(base int, document map[string]any) int {
	text, err := json.Marshal(document)
	must(err)
	return d.order(fmt.Sprintf("configuration %v on %d", document["version"], base), http.MethodPost, "/ridgeswitch/Config.Replace", fmt.Sprint(base), text, 20*time.Second)
}

// nameWeights names a version of weights until that is acknowledged.
func (d *deployment) nameWeights(model string, version int) int {
	return d.order(fmt.Sprintf("version %d of %s", version, model), http.MethodPost, "/ridgeswitch/version-put", "",
		[]byte(fmt.Sprintf(`{"model":%q,"version":%d}`, model, version)), 20*time.Second)
}

// answer is what a client saw of one request.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// send sends one request on a new connection and reads the answer.
func (d *deployment) send(node *machine, id, host, path string, header map[string]string, body []byte, limit time.Duration) answer {
	began := time.Now()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.front()+path, bytes.NewReader(body))
	must(err)
	request.Host = host
	request.Header["User-Agent"] = nil
	request.Header.Set("X-Ridgeswitch-Request-Id", id)
	request.Header.Set("X-Ridgeswitch-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{id: id, err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{id: id, status: response.StatusCode, header: response.Header, body: text, err: err, took: time.Since(began)}
}
