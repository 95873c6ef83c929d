package flooder

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"clementineyard/platform/impersonator"
)

const (
	voterIP, workerIP = "127.0.4.1", "127.0.4.9"
	testDomain        = "north"
)

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
	voter := startNode(t, &impersonator.Node{
		IP: voterIP, ControlAddress: control, DataFolder: t.TempDir(), MemoryMB: voterMemoryMB, Descriptors: voterDescriptors,
	}, f.ports)
	q := impersonator.Queue{Host: testHost, Prefix: testPath, Service: "desk", TargetLatency: time.Second, MaxAttempts: 4, StretchFactor: 1.6}
	configuration := q.Configuration(1, configurationBytes)
	put := func() error {
		return httpRequest(http.MethodPut, "http://"+control+impersonator.PathConfiguration, "", configuration, http.StatusOK)
	}
	report := requestShape{"PUT", impersonator.PathWorkers + "i-1", 3500, 1 << 20}
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
	entry := startNode(t, &impersonator.Node{
		IP: ip, ClientAddress: clients, ReadinessAddress: f.address(ip, 2), MemoryMB: entryMemoryMB, Descriptors: entryDescriptors,
	}, f.ports)
	ordinary := func() error {
		if err := httpRequest(http.MethodGet, "http://"+clients+testPath, testHost, "", http.StatusOK); err != nil {
			return err
		}
		return httpRequest(http.MethodPost, "http://"+clients+jobPath(), testHost, impersonator.Job("1", impersonator.Step{Count: 1, Millicores: 1, Estimate: time.Millisecond}), http.StatusOK)
	}
	s := &subject{process: entry, memoryMB: entryMemoryMB, descriptors: entryDescriptors, ordinary: ordinary, targets: []target{
		{"clients", clients, 800, requestShape{"POST", testPath + "00000000000000aa", 16000, 256<<10 - 1}},
		{"readiness", f.address(ip, 2), 200, requestShape{"GET", impersonator.PathReady, 1_000_000, 0}},
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

// startWorker starts a worker, which reports itself at a control address.
func startWorker(t *testing.T, controlAddress string) {
	w := &impersonator.Worker{ID: "w-1", FailureDomain: testDomain, Service: "desk", Millicores: workerMillicores}
	if err := w.Listen(workerIP); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	go func() {
		for t.Context().Err() == nil {
			w.Report(controlAddress) // A voter under test may refuse it.
			time.Sleep(reportInterval)
		}
	}()
}

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
