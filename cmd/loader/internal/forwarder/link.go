package forwarder

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	chunkBytes   = 32 << 10
	queuedChunks = 256
	dialTimeout  = time.Second
)

// Direction holds the faults of the traffic from one process to another.
type Direction struct {
	delay atomic.Int64 // in nanoseconds

	mu    sync.Mutex
	cut   bool
	uncut chan struct{} // closed while the direction is not cut
}

func newDirection() *Direction {
	d := &Direction{uncut: make(chan struct{})}
	close(d.uncut)
	return d
}

func (d *Direction) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cut == d.cut {
		return
	}
	d.cut = cut
	if cut {
		d.uncut = make(chan struct{})
	} else {
		close(d.uncut)
	}
}

func (d *Direction) isCut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut
}

func (d *Direction) uncutSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.uncut
}

// Link forwards the connections that one process opens to another, in both directions, and the datagrams that it sends.
type Link struct {
	address, target string
	ln              net.Listener
	udp             *net.UDPConn
	forward, back   *Direction

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  chan struct{}
	once  sync.Once
}

func newLink(address, target string, ln net.Listener, udp *net.UDPConn, forward, back *Direction) (*Link, error) {
	l := &Link{
		address: address, target: target, ln: ln, udp: udp, forward: forward, back: back,
		conns: map[net.Conn]struct{}{}, done: make(chan struct{}),
	}
	out, err := net.Dial("udp4", target)
	if err != nil {
		l.close()
		return nil, eris.Wrap(err, "dial")
	}
	go l.acceptLoop()
	go l.forwardDatagrams(out)
	return l, nil
}

func (l *Link) acceptLoop() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

// serve forwards one connection. It connects to the target once neither direction is cut, as setting up a connection
// needs packets in both directions.
func (l *Link) serve(in net.Conn) {
	l.track(in)
	defer l.untrack(in)
	for _, d := range []*Direction{l.forward, l.back} {
		select {
		case <-d.uncutSignal():
		case <-l.done:
			return
		}
	}
	out, err := net.DialTimeout("tcp4", l.target, dialTimeout)
	if err != nil {
		return
	}
	l.track(out)
	defer l.untrack(out)
	ended := make(chan struct{}, 2)
	go func() {
		l.copyWithDelay(in, out, l.forward)
		ended <- struct{}{}
	}()
	go func() {
		l.copyWithDelay(out, in, l.back)
		ended <- struct{}{}
	}()
	<-ended
}

// chunk is data that has been read, with the time at which it is forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// copyWithDelay copies one direction of a connection with its delay. A cut holds the bytes back instead of dropping
// them, as TCP retransmits what was lost when the cut ends.
func (l *Link) copyWithDelay(from, to net.Conn, d *Direction) {
	queue := make(chan chunk, queuedChunks)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				queue <- chunk{buf[:n], time.Now().Add(time.Duration(d.delay.Load()))}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for c := range queue {
		if failed {
			continue
		}
		time.Sleep(time.Until(c.due))
		select {
		case <-d.uncutSignal():
		case <-l.done:
			failed = true
		}
		if _, err := to.Write(c.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
}

// forwardDatagrams forwards the datagrams of the forward direction. Replies are datagrams of the opposite link.
func (l *Link) forwardDatagrams(out net.Conn) {
	defer func() { _ = out.Close() }()
	buf := make([]byte, chunkBytes)
	for {
		n, _, err := l.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if l.forward.isCut() {
			continue
		}
		delay := time.Duration(l.forward.delay.Load())
		if delay == 0 {
			_, _ = out.Write(buf[:n])
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		time.AfterFunc(delay, func() { _, _ = out.Write(data) })
	}
}

func (l *Link) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *Link) untrack(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Link) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *Link) close() {
	l.once.Do(func() { close(l.done) })
	_ = l.ln.Close()
	_ = l.udp.Close()
	l.closeConns()
}
