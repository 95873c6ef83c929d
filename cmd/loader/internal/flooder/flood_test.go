package flooder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/internal/listener"
	"clementineyard/internal/parser"
	"clementineyard/platform/impersonator"
)

const (
	// The limits of the machines are those of the platform, lowered so that few clients exceed them.
	entryMemoryMB, entryDescriptors = 64, 400
	voterMemoryMB, voterDescriptors = 128, 250
	// The daemon of cmd/entry has no setting for its memory before this test: its bound is what its budgets of 64 MB each for
	// records, answers and incomplete requests allow for, with room for the program itself.
	daemonMemoryMB, daemonConnections, daemonDescriptors = 256, 500, 700
	// settlingTime lets the process read what the kernel already holds, so that its memory shows in the samples.
	settlingTime = time.Second

	workerMillicores = 1100
	reportInterval   = 500 * time.Millisecond
)

// target is a listener under test.
type target struct {
	name, address string
	clients       int
	shape         requestShape
}

// subject is a process under test with the bounds that it must keep, and an ordinary request that it must answer.
type subject struct {
	*process
	memoryMB, descriptors int
	ordinary              func() error
	targets               []target
	// restart starts the process again after its end; nil where that is not tested.
	restart func() *subject
}

// httpRequest sends a request and returns an error unless the answer has the given status.
func httpRequest(method, url, host, body string, want int) error {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host, req.Close = host, true
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != want {
		err = fmt.Errorf("%s %s: status %d, %q", method, url, resp.StatusCode, answer)
	}
	return err
}

// eventually returns the last error of a check that does not pass within answerTimeout.
func eventually(check func() error) (err error) {
	for limit := time.Now().Add(answerTimeout); time.Now().Before(limit); time.Sleep(sampleInterval) {
		if err = check(); err == nil {
			return nil
		}
	}
	return err
}

func newDaemon(t *testing.T) *subject {
	d, err := launcher.New(launcher.Config{Folder: t.TempDir(), Binary: entryBinary, Domains: []launcher.Domain{{Name: "north", VMs: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	vm := d.VMs[0]
	vm.Settings.Limits = parser.Limits{Connections: daemonConnections}
	// The default is as long as the test waits for the end.
	vm.Settings.Timing.StopTimeout = parser.Duration{Duration: answerTimeout / 3}
	if err := d.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	if err := d.Initialise(); err != nil {
		t.Fatal(err)
	}
	p, listen := start(t, entryBinary, "127.0.0.1", nil, "--settings", vm.SettingsFile), vm.Settings.Listen
	for _, address := range []string{listen.Callers, listen.Servers, listen.Operators, listen.Peers} {
		_, port, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(port)
		p.ports[n] = true
	}
	ordinary := func() error {
		if err := httpRequest(http.MethodGet, "http://"+listen.Operators+"/health", "", "", http.StatusOK); err != nil {
			return err
		}
		return httpRequest(http.MethodPost, "http://"+listen.Callers+"/v1/keys", "", "", http.StatusOK)
	}
	s := &subject{process: p, memoryMB: daemonMemoryMB, descriptors: daemonDescriptors, ordinary: ordinary, targets: []target{
		{"callers", listen.Callers, 600, requestShape{"POST", "/v1/jobs", 7500, 1<<20 - 1}},
		{"servers", listen.Servers, 600, requestShape{"POST", "/v1/announcements", 7500, 1<<20 - 1}},
		{"operators", listen.Operators, 600, requestShape{"POST", "/v1/changes", 7500, 1<<20 - 1}},
		{"peers", listen.Peers, 1200, requestShape{}},
	}}
	if err := eventually(s.ordinary); err != nil {
		t.Fatal(err)
	}
	change := `{"id":"c","author":"test","baseVersion":0,"files":[{"service":"desk","content":{"service":"desk","callers":["team"],"overload":"queue",` +
		`"tasks":[{"name":"check","timeout":"10m","expectedRunTime":"50ms"}]}}]}`
	var answer listener.ChangeAnswer
	if _, err := d.CallOperators(vm, http.MethodPost, "/v1/changes", json.RawMessage(change), &answer); err != nil || answer.Verdict != "accepted" {
		t.Fatalf("publish the service: %+v, error %v", answer, err)
	}
	announceSilentServer(t, listen.Servers)
	return s
}

// announceSilentServer announces a backend server with one slot that answers nothing.
func announceSilentServer(t *testing.T, servers string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	announcement := fmt.Sprintf(`{"name":"silent","incarnation":1,"kind":"backendServer","address":%q,"failureDomain":"north","services":["desk"],"slots":1,"connections":1}`,
		ln.Addr())
	announce := func() error {
		return httpRequest(http.MethodPost, "http://"+servers+"/v1/announcements", "", announcement, http.StatusOK)
	}
	if err := eventually(announce); err != nil {
		t.Fatal(err)
	}
	go func() {
		for t.Context().Err() == nil {
			_ = announce() // A crowd may keep it out.
			time.Sleep(reportInterval)
		}
	}()
}

// TestFlood guards against hostile clients that end a process, make it hold more memory or descriptors than its machine has,
// or keep it from answering an ordinary request while their connections are open. Each case has processes of its own.
func TestFlood(t *testing.T) {
	for _, s := range subjects {
		for i, listener := range s.listeners {
			for _, b := range listener.behaviours {
				t.Run(fmt.Sprintf("%s/%s/%s", s.name, listener.name, b.name), func(t *testing.T) {
					if b.knownRed && os.Getenv("KNOWN_RED") == "" {
						t.Skip("listed in KNOWN-RED.txt, checked with KNOWN_RED=1")
					}
					floodOnce(t, s.new(t), i, b)
				})
			}
		}
	}
}

// subjects are the processes under test, each with what hostile clients do at its listeners, in the order of subject.targets.
var subjects = []struct {
	name      string
	new       func(t *testing.T) *subject
	listeners []crowdedListener
}{
	{"entry", func(t *testing.T) *subject { return newFleet(t, 1, 0).entries[0] }, []crowdedListener{
		{"clients", slices.Concat(behaviours, []behaviour{wideJobs, freeTasks, waitingJobs, headersOfJobs})},
		{"readiness", behaviours[:1]},
		{"metrics", behaviours[:1]},
		{"peers", peerBehaviours},
	}},
	{"voter", func(t *testing.T) *subject { return newFleet(t, 1, 0).voter }, []crowdedListener{
		{"control", behaviours}, {"metrics", behaviours[:1]}, {"peers", peerBehaviours},
	}},
	{"voter of a large configuration", func(t *testing.T) *subject { return newFleet(t, 1, 3<<20).voter }, []crowdedListener{
		{"control", []behaviour{unreadAnswers}},
	}},
	{"daemon", newDaemon, []crowdedListener{
		{"callers", slices.Concat(behaviours, []behaviour{waitingRequests, repeated("empty tasks", `{"tasks":[`, "{},", "{}]}")})},
		{"servers", slices.Concat(behaviours, []behaviour{repeated("empty services", `{"services":[`, `"",`, `""]}`)})},
		{"operators", slices.Concat(behaviours, []behaviour{repeated("empty files", `{"files":[`, "{},", "{}]}")})},
		{"peers", peerBehaviours},
	}},
}

type crowdedListener struct {
	name       string
	behaviours []behaviour
}

func floodOnce(t *testing.T, s *subject, targetIndex int, b behaviour) {
	target := s.targets[targetIndex]
	stop := s.watch()
	closeAll := newCrowd(target, b).flood()
	defer closeAll()
	time.Sleep(settlingTime)
	err := eventually(s.ordinary)
	stop()
	if !s.alive() {
		t.Fatal("the process has ended")
	}
	if err != nil {
		t.Errorf("an ordinary request is not answered: %v", err)
	}
	s.checkBounds(t)
}

// checkBounds checks what the process has held since watch was called.
func (s *subject) checkBounds(t *testing.T) {
	peak, megabyte := s.residentBytes("VmHWM:"), int64(1<<20)
	t.Logf("peak %d MB, with queued bytes %d MB, of %d; %d descriptors of %d", peak/megabyte, s.maxHeld/megabyte, s.memoryMB, s.maxDescriptors,
		s.descriptors)
	if limit := int64(s.memoryMB) * megabyte; max(peak, s.maxHeld) > limit {
		t.Errorf("%d MB, and %d MB with what the kernel held, where the machine has %d", peak/megabyte, s.maxHeld/megabyte, s.memoryMB)
	}
	if s.maxDescriptors > s.descriptors {
		t.Errorf("%d descriptors, where the machine has %d", s.maxDescriptors, s.descriptors)
	}
}

// TestLoneRequest guards against limits that a single request of legal size exceeds, sent one byte at a time.
func TestLoneRequest(t *testing.T) {
	nodes, daemon := newFleet(t, 1, 0), newDaemon(t)
	clients, control, callers := nodes.entries[0].targets[0], nodes.voter.targets[0], daemon.targets[0]
	get := requestShape{method: "GET", path: testPath, headerBytes: 16384 - 2}
	largest := requestShape{"POST", clients.shape.path, 0, 256<<10 - 1}
	// The spec is too long, so that the answer tells that the whole body was read.
	invalid := append([]byte(`{"spec":"`), bytes.Repeat([]byte("x"), 256<<10-11)...)
	invalid = append(invalid, `"}`...)
	// A report of the largest size takes too long one byte at a time; a tenth of it is more than a budget for a few requests.
	report := requestShape{"PUT", control.shape.path, 0, 400 << 10}
	call := requestShape{"POST", callers.shape.path, 0, 400 << 10}
	chunks := []byte("1\r\n{\r\n" + strings.Repeat("1\r\nx\r\n", 256<<10-1) + "0\r\n\r\n")
	for _, c := range []struct {
		name, address string
		request       []byte
		want          string
	}{
		{"most header lines", clients.address, append(shortLines(get, "%x:\r\n", ""), "\r\n"...), "HTTP/1.1 200"},
		{"largest body", clients.address, append(fixedHeader(largest), invalid...), "HTTP/1.1 400"},
		{"largest body in chunks of one byte", clients.address, append(chunkedHeader(largest), chunks...), "HTTP/1.1 400"},
		{"report", control.address, append(fixedHeader(report), bytes.Repeat([]byte("x"), 400<<10+1)...), "HTTP/1.1 400"},
		{"call", callers.address, append(fixedHeader(call), bytes.Repeat([]byte("x"), 400<<10+1)...), "HTTP/1.1 400"},
	} {
		if status, err := dribble(c.address, c.request); err != nil || status != c.want {
			t.Errorf("%s: %q, error %v, want %q", c.name, status, err, c.want)
		}
	}
	if err := httpRequest(http.MethodPut, "http://"+control.address+impersonator.PathConfiguration, "", strings.Repeat(" ", 8<<20), http.StatusBadRequest); err != nil {
		t.Errorf("the largest configuration: %v", err)
	}
	if err := httpRequest(http.MethodPut, "http://"+control.address+control.shape.path, "", strings.Repeat(" ", 4<<20), http.StatusBadRequest); err != nil {
		t.Errorf("the largest report: %v", err)
	}
}
