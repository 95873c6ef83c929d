package flooder

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const voterIP = "127.0.4.1"

// entryIP returns the address of an entry process.
func entryIP(i int) string { return fmt.Sprintf("127.0.4.%d", 10+i) }

// fleet is a voter, a worker, and entry processes of one failure domain. Each has an address of its own; the ports are the same.
type fleet struct {
	ports   [4]int
	voter   *subject
	entries []*subject
}

// newFleet starts a fleet and writes a configuration of at least some bytes.
func newFleet(t *testing.T, entries, configurationBytes int) *fleet {
	f := &fleet{ports: freePorts(t)}
	control := f.address(voterIP, 0)
	voter := startNode(t, voterIP, f.ports, map[string]any{
		"serves": []string{"control"}, "bind-addrs": map[string]string{"control-plane": control}, "data-dir": t.TempDir(),
		"limits": map[string]int{"memory-mb": voterMemoryMB, "max-fds": voterDescriptors},
	})
	configuration := `{"version":1,"routes":[{"name":"r","host":"` + testHost + `","path-prefix":"` + testPath +
		`","timeout-ms":5000,"service":"desk","stretch-factor":1.6,"target-latency-ms":1000,"max-attempts":4}],"services":[{"name":"desk"}],"note":"` +
		strings.Repeat("x", configurationBytes) + `"}`
	put := func() error {
		return httpRequest(http.MethodPut, "http://"+control+configPath, "", configuration, http.StatusOK)
	}
	report := requestShape{"PUT", "/clementineyard/instances/i-1", 3500, 1 << 20}
	f.voter = &subject{process: voter, memoryMB: voterMemoryMB, descriptors: voterDescriptors, ordinary: put, targets: []target{
		{"control", control, 400, report},
		{"metrics", metricsAddress(voterIP), 200, requestShape{"GET", "/metrics", 1_000_000, 0}},
		{"peers", f.address(voterIP, 3), 800, requestShape{}},
	}}
	for i := range entries {
		f.entries = append(f.entries, f.startEntry(t, entryIP(i)))
	}
	startWorker(t, control)
	checks := []func() error{put}
	for _, e := range f.entries {
		checks = append(checks, e.ordinary)
	}
	for _, check := range checks {
		if err := eventually(check); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// startEntry starts an entry process. Its ordinary requests are a count and a small job, which has room beside one that asks for a core.
func (f *fleet) startEntry(t *testing.T, ip string) *subject {
	clients := f.address(ip, 1)
	entry := startNode(t, ip, f.ports, map[string]any{
		"serves": []string{"edge"}, "bind-addrs": map[string]string{"frontend": clients, "readiness": f.address(ip, 2)},
		"limits": map[string]int{"memory-mb": entryMemoryMB, "max-fds": entryDescriptors},
	})
	ordinary := func() error {
		if err := httpRequest(http.MethodGet, "http://"+clients+testPath, testHost, "", http.StatusOK); err != nil {
			return err
		}
		return httpRequest(http.MethodPost, "http://"+clients+jobPath(), testHost, jobBody("1", `{"count":1,"cpu":1,"estimate-ms":1}`), http.StatusOK)
	}
	s := &subject{process: entry, memoryMB: entryMemoryMB, descriptors: entryDescriptors, ordinary: ordinary, targets: []target{
		{"clients", clients, 800, requestShape{"POST", testPath + "00000000000000aa", 16000, 256<<10 - 1}},
		{"readiness", f.address(ip, 2), 200, requestShape{"GET", "/clementineyard/readyz", 1_000_000, 0}},
		{"metrics", metricsAddress(ip), 200, requestShape{"GET", "/metrics", 1_000_000, 0}},
		{"peers", f.address(ip, 3), 400, requestShape{}},
	}}
	s.restart = func() *subject { return f.startEntry(t, ip) }
	return s
}

func (f *fleet) address(ip string, i int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.ports[i]))
}

func metricsAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(metricsPort)) }

// TestRelayedFlood guards against crowds at all entry VMs of a cell whose jobs together exceed the memory of its owner.
func TestRelayedFlood(t *testing.T) {
	f := newFleet(t, 3, 0)
	var crowds sync.WaitGroup
	for _, e := range f.entries {
		t.Cleanup(e.watch())
		crowds.Go(func() { t.Cleanup(newCrowd(e.targets[0], wideJobs).flood()) })
	}
	crowds.Wait()
	time.Sleep(settlingTime)
	for _, e := range f.entries {
		if err := eventually(e.ordinary); err != nil {
			t.Errorf("an ordinary request is not answered: %v", err)
		}
		if !e.alive() {
			t.Error("an entry process has ended")
		}
		e.checkBounds(t)
	}
	if !f.voter.alive() {
		t.Error("the voter has ended")
	}
}
