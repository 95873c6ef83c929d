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
	links map[pair]*Link
	// directions hold the faults of all packets from one process to another, whoever opened the connection.
	directions map[pair]*Direction
}

type pair struct{ from, to string }

// New returns a Network without links.
func New() *Network {
	return &Network{links: map[pair]*Link{}, directions: map[pair]*Direction{}}
}

// Add opens a link on a free loopback port, for TCP and UDP, and returns the address that from uses to reach to.
func (n *Network) Add(from, to, target string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, err := listen(target, n.direction(from, to), n.direction(to, from))
	if err != nil {
		return "", err
	}
	n.links[pair{from, to}] = l
	return l.address, nil
}

// Cut drops silently, or stops dropping, what goes from one process to another. Open connections stay open.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direction(from, to).setCut(cut)
}

// Delay sets the one-way delay.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direction(from, to).delay.Store(int64(d))
}

// Heal removes all cuts and sets every delay.
func (n *Network) Heal(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, d := range n.directions {
		d.setCut(false)
		d.delay.Store(int64(delay(p.from, p.to)))
	}
}

// Reset closes the open connections between two processes.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []pair{{a, b}, {b, a}} {
		if l := n.links[p]; l != nil {
			l.closeConns()
		}
	}
}

// Close ends all links.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.close()
	}
}

// direction must be called under the lock.
func (n *Network) direction(from, to string) *Direction {
	d := n.directions[pair{from, to}]
	if d == nil {
		d = newDirection()
		n.directions[pair{from, to}] = d
	}
	return d
}

// listen opens one port number for both protocols.
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
	return nil, eris.New("no port is free for both TCP and UDP")
}
