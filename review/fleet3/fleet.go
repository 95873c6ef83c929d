package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// The figures of a small deployment, as on the users' pages.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = time.Second
	stopTime    = 50 * time.Millisecond
	cancelBound = 3 * time.Second
	contact     = 3 * time.Second
	stateBound  = 2 * time.Second

	queueHost = "queue.example"
	prefix    = "/jobs/"
	service   = "bibs"
)

// zoneNames are the zones; entryCounts is how many entry machines each has.
var (
	zoneNames   = []string{"casa-a", "rabat-b", "tanger-c"}
	entryCounts = []int{3, 3, 2}
)

// workersPerZone is how many runners each zone has.
const workersPerZone = 4

// fleet is a small deployment: three machines with voters, eight entry machines, and runners.
type fleet struct {
	program, folder string
	record          *recorder
	ports           ports
	nodes           []*node
	workers         []*worker
	links           *links
	done            chan struct{}
}

// newFleet starts all processes. With links, connections between machines pass through proxies.
func newFleet(program, folder string, record *recorder, withLinks bool) (*fleet, error) {
	f := &fleet{program: program, folder: folder, record: record, done: make(chan struct{})}
	network := fmt.Sprintf("127.%d", 16+rand.IntN(200))
	ip := func(zone, machine int) string { return fmt.Sprintf("%s.%d.%d", network, zone+1, machine) }
	for z, zone := range zoneNames {
		f.nodes = append(f.nodes, &node{fleet: f, name: "core-" + zone + "-1", ip: ip(z, 1), zone: zone, voter: true})
	}
	for z, zone := range zoneNames {
		for i := range entryCounts[z] {
			f.nodes = append(f.nodes, &node{fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: ip(z, 11+i), zone: zone})
		}
	}
	var free []int
	for len(free) < 4+len(f.nodes) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		free = append(free, ln.Addr().(*net.TCPAddr).Port)
	}
	f.ports = ports{free[0], free[1], free[2], free[3]}
	for i, n := range f.nodes {
		n.peerPort = f.ports.peer
		if withLinks {
			n.peerPort = free[4+i]
		}
		n.folder = filepath.Join(folder, n.name)
		if err := os.MkdirAll(filepath.Join(n.folder, "data"), 0o700); err != nil {
			return nil, err
		}
	}
	if withLinks {
		l, err := newLinks(f.nodes)
		if err != nil {
			return nil, err
		}
		f.links = l
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	for z, zone := range zoneNames {
		for i := range workersPerZone {
			w, err := newWorker(f, fmt.Sprintf("i-%s-%d", zone, i), zone, ip(z, 101+i))
			if err != nil {
				return nil, err
			}
			f.workers = append(f.workers, w)
			go w.reportUntil(f.done)
		}
	}
	return f, nil
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	close(f.done)
	for _, n := range f.nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	for _, w := range f.workers {
		w.close()
	}
}

func (f *fleet) voters() []*node { return f.selectNodes(func(n *node) bool { return n.voter }) }

func (f *fleet) entries(zone string) []*node {
	return f.selectNodes(func(n *node) bool { return !n.voter && (zone == "" || n.zone == zone) })
}

func (f *fleet) selectNodes(matches func(*node) bool) []*node {
	var out []*node
	for _, n := range f.nodes {
		if matches(n) {
			out = append(out, n)
		}
	}
	return out
}

// owner returns the entry machine that owns the cell of a zone, as its process has said; nil while there is none.
func (f *fleet) owner(zone string) *node {
	var newest *node
	for _, n := range f.entries(zone) {
		if n.owns() {
			newest = n
		}
	}
	return newest
}

// call sends a request on a connection of its own and returns the status, 0 where there is no answer, and the body.
func (f *fleet) call(method, address, host, path, body string, timeout time.Duration) (int, string) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Clementineyard-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(content)
}

// configure sends a desired state until a voter acknowledges it.
func (f *fleet) configure(version int, routes string) error {
	body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"health-path":"/healthz","max-conns":64,"protocol":"h1","tls":false,`+
		`"admission-check":false,"standby":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		version, routes, service)
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, v := range f.voters() {
			if status, _ := f.call(http.MethodPut, v.controlAddress(), v.controlAddress(), "/clementineyard/config", body, time.Second); status == http.StatusOK {
				f.record.printf("operator: %s acknowledged version %d", v.name, version)
				return nil
			}
		}
	}
	return errors.New("no voter acknowledged the desired state")
}

// route returns the queue of the cases.
func route(timeout time.Duration) string {
	return fmt.Sprintf(`{"name":"r-jobs","host":%q,"path-prefix":%q,"kind":"non_idempotent","timeout-ms":%d,"target-latency-ms":60,"priority":0,"service":%q,"max-attempts":4,"stretch-factor":1.6}`,
		queueHost, prefix, timeout.Milliseconds(), service)
}

// phase is a step of a job.
type phase struct {
	count, cpu int
	estimate   time.Duration
	after      []int
	extra      string
}

// submission returns the body of a best-effort job. work is the run time of the tasks of each step.
func submission(phases []phase) string {
	spec, list := "", ""
	for i, p := range phases {
		if i > 0 {
			spec, list = spec+",", list+","
		}
		spec += strconv.FormatInt(p.estimate.Milliseconds(), 10)
		list += fmt.Sprintf(`{"count":%d,"cpu":%d,"mem-mb":64,"estimate-ms":%d`, p.count, p.cpu, p.estimate.Milliseconds())
		if len(p.after) > 0 {
			list += `,"depends-on":[`
			for k, d := range p.after {
				if k > 0 {
					list += ","
				}
				list += strconv.Itoa(d)
			}
			list += "]"
		}
		list += p.extra + "}"
	}
	return fmt.Sprintf(`{"spec":"work %s","best-effort":true,"phases":[%s]}`, spec, list)
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in and records the answer.
func (f *fleet) submit(n *node, id, body string, timeout time.Duration) (int, string) {
	f.record.printf("client: POST %s to %s", id, n.name)
	status, answer := f.call(http.MethodPost, n.clientAddress(), queueHost, prefix+id, body, timeout)
	f.record.printf("client: POST %s at %s got %d %s", id, n.name, status, trim(answer))
	return status, answer
}

// cancel cancels a job and records the answer.
func (f *fleet) cancel(n *node, id string, timeout time.Duration) (int, time.Time) {
	f.record.printf("client: DELETE %s to %s", id, n.name)
	status, answer := f.call(http.MethodDelete, n.clientAddress(), queueHost, prefix+id, "", timeout)
	f.record.printf("client: DELETE %s at %s got %d %s", id, n.name, status, trim(answer))
	return status, time.Now()
}

func trim(s string) string {
	if len(s) > 120 {
		s = s[:120]
	}
	return string(bytes.TrimSpace([]byte(s)))
}

// warmUp waits until every entry machine serves jobs, three times in a row.
func (f *fleet) warmUp() error {
	body := submission([]phase{{count: 2, cpu: 1000, estimate: 30 * time.Millisecond}})
	served := map[*node]int{}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		left := false
		for _, n := range f.entries("") {
			if served[n] >= 3 {
				continue
			}
			left = true
			status, _ := f.call(http.MethodPost, n.clientAddress(), queueHost, prefix+newJobID(), body, 2*time.Second)
			if served[n]++; status != http.StatusOK {
				served[n] = 0
			}
		}
		if !left {
			f.record.printf("all entry machines serve jobs")
			return nil
		}
	}
	return errors.New("the system does not serve jobs")
}
