package main

import (
	"io"
	"net"
	"strconv"
	"sync"
)

// links are proxies between the machines: each machine has a port of its own for others, and finds a proxy at every other one's
// address under that port. A link that is cut holds back all bytes, and passes them on when it is joined again.
type links struct {
	mu  sync.Mutex
	cut map[[2]*node]bool
	// joined is closed, and replaced, when links are joined.
	joined chan struct{}
}

func newLinks(nodes []*node) (*links, error) {
	l := &links{cut: map[[2]*node]bool{}, joined: make(chan struct{})}
	for _, from := range nodes {
		for _, to := range nodes {
			if from == to {
				continue
			}
			ln, err := net.Listen("tcp", net.JoinHostPort(to.ip, strconv.Itoa(from.peerPort)))
			if err != nil {
				return nil, err
			}
			go l.serve(ln, from, to)
		}
	}
	return l, nil
}

func (l *links) serve(ln net.Listener, from, to *node) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			l.await(from, to)
			target, err := net.Dial("tcp", net.JoinHostPort(to.ip, strconv.Itoa(to.peerPort)))
			if err != nil {
				return
			}
			defer func() { _ = target.Close() }()
			go l.pump(conn, target, from, to)
			l.pump(target, conn, from, to)
		}()
	}
}

// pump passes bytes on while the link is not cut.
func (l *links) pump(from, to net.Conn, a, b *node) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.await(a, b)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			return
		}
	}
}

// await returns when the link between two machines is not cut.
func (l *links) await(a, b *node) {
	for {
		l.mu.Lock()
		cut, joined := l.cut[[2]*node{a, b}], l.joined
		l.mu.Unlock()
		if !cut {
			return
		}
		<-joined
	}
}

// setCut cuts or joins all links between the machines that inside selects and the others.
func (l *links) setCut(nodes []*node, inside func(*node) bool, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range nodes {
		for _, b := range nodes {
			if inside(a) != inside(b) {
				l.cut[[2]*node{a, b}] = cut
			}
		}
	}
	if !cut {
		close(l.joined)
		l.joined = make(chan struct{})
	}
}
