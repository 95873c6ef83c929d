package acceptor

import (
	"time"

	"clementineyard/internal/budgeter"
)

// Kind tells the listeners of a process apart. Each has its own bound on connections, so that none keeps another from accepting.
type Kind int

// The kinds of listeners.
const (
	// Requests is the listener of clients, or of operators and workers.
	Requests Kind = iota
	// Readiness and Metrics are the listeners of those who watch the process.
	Readiness
	Metrics
	// Peers is the listener of other processes; a connection counts until its sender is authenticated.
	Peers
	// Servers and Operators are the further listeners of cmd/entry.
	Servers
	Operators
	kindCount
)

// Limits bounds what a process holds for requests. The bounds of time are longer than any client inside the platform's limits
// takes: headers 3 s, 15 s between two bytes, and 1 s or some more for 8 MiB of an operator.
type Limits struct {
	// Bytes bounds what all incomplete requests hold.
	Bytes int64
	// Connections bounds the open connections of each kind of listener.
	Connections [kindCount]int
	// Buffer bounds what the kernel holds for each connection in each direction; 0 leaves that to the kernel.
	Buffer int
	// StallTime is how long a request may make no progress, and RequestTime how long it may take as a whole.
	StallTime, RequestTime time.Duration
}

// The bounds of time where the settings have none.
const (
	DefaultStallTime   = 20 * time.Second
	DefaultRequestTime = time.Minute
)

const (
	// peerTime bounds the time until a connecting process is authenticated; it gives up its own attempt after 1 s.
	peerTime = 5 * time.Second
	// waitTime is how long a complete request waits before its connection may be given to another client: longer than clients of
	// tasks that run for less than a second do.
	waitTime = 2 * time.Second
	// maxPeerBytes bounds what a process sends until it is authenticated: two hellos of some hundred bytes.
	maxPeerBytes = 64 << 10

	// unknownMemory stands for the memory of a machine whose settings state none.
	unknownMemory = 512 << 20
	// memoryShare is the part of the memory for the bytes of requests, and again for their connections. Go's heap may grow to
	// twice what is live, and the kernel holds as much unread for each connection as the connection takes in the process.
	memoryShare = 8
	// peerBytes is the same for a connecting process, with its multiplexer.
	peerBytes = 40 << 10
	// maxPeers bounds the processes that connect at once; a fleet of 147 entry VMs and 8 voters may start together.
	maxPeers = 256
	// watchers bounds the connections of those who watch the process.
	watchers = 16
)

// The buffers in the kernel, of which Linux reserves twice as much for its own overhead. A client's body of 256 KiB needs 16 round trips
// of up to 3 ms with them, and an operator's configuration of 3 MB passes in 0.3 s.
const (
	ClientBuffer  = 16 << 10
	ControlBuffer = 32 << 10
)

// ConnectionBytes is what an HTTP connection takes before its first request: buffers of 4 KiB for each direction, and the stacks of its
// goroutines.
const ConnectionBytes = 20 << 10

// MachineLimits returns the limits for a machine with an amount of memory in bytes and a number of descriptors, each 0 where it
// is unknown. One request of minBytes always fits. Half of the descriptors remain for workers, voters, other processes and the
// answers of each.
func MachineLimits(memory, descriptors, minBytes int64) Limits {
	if memory <= 0 {
		memory = unknownMemory
	}
	connections, peers := memory/memoryShare/ConnectionBytes, min(memory/(2*memoryShare)/peerBytes, maxPeers)
	if descriptors > 0 {
		connections, peers = min(connections, descriptors/2), min(peers, descriptors/8)
	}
	l := Limits{Bytes: max(memory/memoryShare, minBytes), StallTime: DefaultStallTime, RequestTime: DefaultRequestTime}
	l.Connections[Requests], l.Connections[Peers] = int(max(connections, 1)), int(max(peers, 1))
	l.Connections[Readiness], l.Connections[Metrics] = watchers, watchers
	return l
}

// budget returns the limits by kind.
func (l Limits) budget() budgeter.Config {
	cfg := budgeter.Config{Bytes: l.Bytes, StallTime: l.StallTime, WaitTime: waitTime}
	for kind, connections := range l.Connections {
		limits := budgeter.Listener{Connections: connections, RequestTime: l.RequestTime}
		if Kind(kind) == Peers {
			limits.RequestBytes, limits.RequestTime = maxPeerBytes, peerTime
		}
		cfg.Listeners = append(cfg.Listeners, limits)
	}
	return cfg
}
