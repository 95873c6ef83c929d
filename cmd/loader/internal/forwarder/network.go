package forwarder

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Network holds one Link for each ordered pair of processes. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	links map[orderedPair]*Link
	// directions hold the faults of all traffic from one process to another, whichever of them opened the connection.
	directions map[orderedPair]*Direction
}

type orderedPair struct{ from, to string }

// New returns a Network without links.
func New() *Network {
	return &Network{links: map[orderedPair]*Link{}, directions: map[orderedPair]*Direction{}}
}

// Add opens a link to target on a free loopback port, for TCP and UDP, and returns the address that the process from
// uses to reach the process to.
func (n *Network) Add(from, to, target string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, err := listen(target, n.directionLocked(from, to), n.directionLocked(to, from))
	if err != nil {
		return "", err
	}
	n.links[orderedPair{from, to}] = l
	return l.address, nil
}

// Cut starts or ends a silent loss of all traffic from one process to another. Open connections stay open.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directionLocked(from, to).setCut(cut)
}

// Delay sets the delay of the traffic from one process to another.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directionLocked(from, to).delay.Store(int64(d))
}

// Heal ends all cuts and sets the delay of every direction to what delay returns.
func (n *Network) Heal(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, d := range n.directions {
		d.setCut(false)
		d.delay.Store(int64(delay(p.from, p.to)))
	}
}

// Reset closes the open connections between two processes, whichever of them opened them.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []orderedPair{{a, b}, {b, a}} {
		if l := n.links[p]; l != nil {
			l.closeConns()
		}
	}
}

// Close closes all links and their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.close()
	}
}

// directionLocked returns the direction from one process to another and creates it at first use. The caller holds n.mu.
func (n *Network) directionLocked(from, to string) *Direction {
	d := n.directions[orderedPair{from, to}]
	if d == nil {
		d = newDirection()
		n.directions[orderedPair{from, to}] = d
	}
	return d
}

// listen opens a link that listens on the same loopback port for TCP and UDP.
func listen(target string, forward, back *Direction) (*Link, error) {
	const attempts = 20
	for range attempts {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "listen")
		}
		port := ln.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			_ = ln.Close()
			continue
		}
		return newLink("127.0.0.1:"+strconv.Itoa(port), target, ln, udp, forward, back)
	}
	return nil, eris.New("listen: no port is free for both TCP and UDP")
}
