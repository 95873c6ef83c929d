package flooder

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"clementineyard/platform/impersonator"
)

const (
	nodeBinary  = "bin/clementineyard-node"
	entryBinary = "bin/clementineyard-entry"
	// testHost and testPath are those of the only queue.
	testHost = "desk.example"
	testPath = "/jobs/"
	// answerTimeout only ends a test whose process does not answer.
	answerTimeout  = 30 * time.Second
	sampleInterval = 20 * time.Millisecond
	metricsPort    = 9464
)

// TestMain runs the tests in the repository's root folder, where make build writes the programs.
func TestMain(m *testing.M) {
	// The HTTP client logs each refusal that comes before its request.
	log.SetOutput(io.Discard)
	if err := os.Chdir("../../../.."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, binary := range []string{nodeBinary, entryBinary} {
		if _, err := os.Stat(binary); err != nil {
			fmt.Fprintln(os.Stderr, "run make build first:", err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// process is a process under test, or one that it needs.
type process struct {
	pid   int
	ended chan struct{}
	// hexIP is the address on which the process under test listens, as the kernel writes it, and ports are the ports there.
	hexIP string
	ports map[int]bool

	mu sync.Mutex
	// maxDescriptors and maxHeld are the most open descriptors, and the most resident bytes with those that the kernel held
	// for it: unread, or written and not taken by the client.
	maxDescriptors int
	maxHeld        int64
}

// hexIP returns an IPv4 address as /proc/net/tcp has it: its bytes in reverse order.
func hexIP(ip string) string {
	b := net.ParseIP(ip).To4()
	slices.Reverse(b)
	return fmt.Sprintf("%X", []byte(b))
}

// start starts a program that listens on ip, and kills it when the test ends.
func start(t *testing.T, binary, ip string, environment []string, arguments ...string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "output.log")
	output, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, arguments...)
	cmd.Stdout, cmd.Stderr, cmd.Env = output, output, append(os.Environ(), environment...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{pid: cmd.Process.Pid, ended: make(chan struct{}), hexIP: hexIP(ip), ports: map[int]bool{}}
	go func() {
		_ = cmd.Wait() // The status is that of the signal.
		close(p.ended)
	}()
	t.Cleanup(func() {
		alive := p.alive()
		_ = cmd.Process.Kill()
		<-p.ended
		_ = output.Close()
		if log, err := os.ReadFile(path); err == nil && t.Failed() && !alive {
			t.Logf("%s has ended; its last output: %s", binary, log[max(0, len(log)-2000):])
		}
	})
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// watch samples the process until the function that it returns is called.
func (p *process) watch() (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			p.sample()
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

func (p *process) sample() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		return // The process has ended, which the test notices elsewhere.
	}
	held := p.residentBytes("VmRSS:") + p.queuedBytes()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxDescriptors, p.maxHeld = max(p.maxDescriptors, len(entries)), max(p.maxHeld, held)
}

// residentBytes returns a field of the status of the process that the kernel shows in kB; VmHWM: is the peak of VmRSS:.
func (p *process) residentBytes(field string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// queuedBytes returns what the kernel holds in both directions on the established connections to the ports of the process.
func (p *process) queuedBytes() (sum int64) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		const localAddress, state, queues, established = 1, 3, 4, "01"
		fields := strings.Fields(lines.Text())
		if len(fields) <= queues || fields[state] != established {
			continue
		}
		hexIP, hexPort, _ := strings.Cut(fields[localAddress], ":")
		port, _ := strconv.ParseInt(hexPort, 16, 32)
		if hexUnsent, hexUnread, _ := strings.Cut(fields[queues], ":"); hexIP == p.hexIP && p.ports[int(port)] {
			unsent, _ := strconv.ParseInt(hexUnsent, 16, 64)
			unread, _ := strconv.ParseInt(hexUnread, 16, 64)
			sum += unsent + unread
		}
	}
	return sum
}

// startNode starts a process of cmd/node.
func startNode(t *testing.T, n *impersonator.Node, ports [4]int) *process {
	t.Helper()
	n.Name, n.FailureDomain, n.PeerPort, n.Seeds, n.StopTimeout = n.IP, testDomain, ports[3], []string{voterIP}, 3*time.Second
	environment, err := n.WriteSettings(filepath.Join(t.TempDir(), "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	p := start(t, nodeBinary, n.IP, []string{environment})
	for _, port := range append(ports[:], metricsPort) {
		p.ports[port] = true
	}
	return p
}

// freePorts returns ports that are free on all loopback addresses.
func freePorts(t *testing.T) (ports [4]int) {
	t.Helper()
	// All stay open until the last is chosen, as a closed one may be chosen again.
	for i := range ports {
		ln, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		ports[i] = ln.Addr().(*net.TCPAddr).Port
	}
	return ports
}
