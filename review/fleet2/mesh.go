package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mesh carries the connections between processes. Each process has a peer port of its own in its settings, which it takes for
// that of all others, and the mesh listens there: at the address of process b, on the port of process a, for connections from
// a to b.
type mesh struct {
	fleet *fleet
	mu    sync.Mutex
	// blocked holds the directions in which no bytes pass; changed is closed, and replaced, when it changes.
	blocked map[[2]*node]bool
	changed chan struct{}
	conns   map[*meshConn]bool
}

// meshConn is a connection from one process to another.
type meshConn struct {
	from, to *node
	in, out  net.Conn
	// silent is true once the connection passes no bytes for good.
	silent bool
	closed chan struct{}
	once   sync.Once
}

func (c *meshConn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.in.Close()
		if c.out != nil {
			_ = c.out.Close()
		}
	})
}

func newMesh(f *fleet) *mesh {
	return &mesh{fleet: f, blocked: map[[2]*node]bool{}, changed: make(chan struct{}), conns: map[*meshConn]bool{}}
}

// listen accepts connections from one process to another. listener serves the port of from at the address of to.
func (m *mesh) serve(from, to *node, listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		c := &meshConn{from: from, to: to, in: in, closed: make(chan struct{})}
		m.mu.Lock()
		m.conns[c] = true
		m.mu.Unlock()
		go m.carry(c)
	}
}

func (m *mesh) carry(c *meshConn) {
	defer func() {
		c.close()
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
	}()
	if !m.await(c, c.from, c.to) || !m.await(c, c.to, c.from) {
		return
	}
	out, err := net.DialTimeout("tcp", c.to.peerAddress(), time.Second)
	if err != nil {
		if tcp, ok := c.in.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	m.mu.Lock()
	c.out = out
	m.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { m.copy(c, c.from, c.to, out, c.in); done <- struct{}{} }()
	go func() { m.copy(c, c.to, c.from, c.in, out); done <- struct{}{} }()
	<-done
}

// await waits until bytes pass in one direction; it returns false when the connection is closed.
func (m *mesh) await(c *meshConn, from, to *node) bool {
	for {
		m.mu.Lock()
		blocked, changed := m.blocked[[2]*node{from, to}] || c.silent, m.changed
		m.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

func (m *mesh) copy(c *meshConn, from, to *node, dst io.Writer, src io.Reader) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if !m.await(c, from, to) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut blocks or frees the links for which match holds, in both directions where it holds for both. With reset the
// connections over them are closed.
func (m *mesh) cut(blocked, reset bool, match func(from, to *node) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := append(append([]*node{}, m.fleet.cores...), m.fleet.edges...)
	for _, a := range all {
		for _, b := range all {
			if a != b && match(a, b) {
				m.blocked[[2]*node{a, b}] = blocked
			}
		}
	}
	if reset {
		for c := range m.conns {
			if match(c.from, c.to) || match(c.to, c.from) {
				go c.close()
			}
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// silence lets the open connections pass no bytes for good. New ones work.
func (m *mesh) silence(match func(from, to *node) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		if match(c.from, c.to) {
			c.silent = true
		}
	}
}

// partition cuts the processes for which side holds from the others for the given time.
func (m *mesh) partition(name string, d time.Duration, reset bool, side func(*node) bool) {
	match := func(from, to *node) bool { return side(from) != side(to) }
	m.fleet.record.add("cut", "what", name, "reset", reset)
	m.cut(true, reset, match)
	time.Sleep(d)
	m.cut(false, false, match)
	m.fleet.record.add("cut-ends", "what", name)
}
