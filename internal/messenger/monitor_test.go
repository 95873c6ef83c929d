package messenger

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"clementineyard/wire"
)

// TestProbes guards against an idle fleet that spends its processor time on probes, and against a connection that is
// waited on and goes silent without being noticed.
func TestProbes(t *testing.T) {
	limits := timing{keepAlive: 2 * monitorEvery, idle: 10 * monitorEvery}
	for name, c := range map[string]struct {
		// before is done ahead of each look.
		before func(p *monitoredConn)
		probes int
	}{
		"idle":                  {func(*monitoredConn) {}, 11},
		"a reply is waited for": {func(p *monitoredConn) { p.waiting.Store(1) }, 19},
		"messages are sent":     {func(p *monitoredConn) { p.sent.Store(true) }, 19},
		"a reply is overdue":    {func(p *monitoredConn) { p.due.Store(true) }, 20},
		"heard":                 {func(p *monitoredConn) { p.heard.Store(true); p.waiting.Store(1) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, probes := &monitoredConn{}, 0
			for range 20 {
				c.before(p)
				if p.look(limits) {
					probes++
				}
			}
			if probes != c.probes {
				t.Fatalf("%d probes in 20 looks, want %d", probes, c.probes)
			}
		})
	}
}

// TestSilentConnection guards against a call that waits for ever on a connection that something in between keeps open.
func TestSilentConnection(t *testing.T) {
	back, front := mustListen(t), mustListen(t)
	got := make(chan struct{}, 1)
	peer := New(Config{Name: "b", Resolve: func(string) string { return "" }, Log: discard(), Handle: func(_ string, e *wire.Envelope, _ func(*wire.Envelope)) {
		got <- struct{}{}
	}})
	m := New(Config{Name: "a", Resolve: func(string) string { return front.Addr().String() }, Log: discard()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go peer.Run(ctx, back)
	go m.Run(ctx, mustListen(t))
	silent := make(chan struct{})
	go relaySilently(front, back.Addr().String(), silent)
	for !m.Connected("b") {
		time.Sleep(time.Millisecond)
	}
	lost := make(chan error, 1)
	m.Call("b", Relay, &wire.Envelope{Body: &wire.Envelope_Lookup{Lookup: &wire.Lookup{}}}, time.Now().Add(time.Hour), func(_ *wire.Envelope, err error) {
		lost <- err
	})
	<-got
	close(silent)
	if err := <-lost; err == nil {
		t.Fatal("a reply came through a silent connection")
	}
}

// relaySilently passes bytes on until silent is closed, and keeps the connections open.
func relaySilently(ln net.Listener, to string, silent <-chan struct{}) {
	for {
		a, err := ln.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		pass := func(from, to net.Conn) {
			buf := make([]byte, 1<<10)
			for {
				n, err := from.Read(buf)
				select {
				case <-silent:
					continue
				default:
				}
				if err != nil {
					return
				}
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		go pass(a, b)
		go pass(b, a)
	}
}

// TestJoinedWrites guards against frames that are cut, doubled or reordered by joining their heads with their bodies.
func TestJoinedWrites(t *testing.T) {
	head := func(kind byte, length uint32) []byte {
		b := []byte{0, kind, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0}
		binary.BigEndian.PutUint32(b[8:], length)
		return b
	}
	out := &recorded{}
	p := &monitoredConn{Conn: out}
	var want []byte
	for _, b := range [][]byte{
		head(2, 7),                // a ping has a number in place of a length
		head(0, 0),                // data without a body
		head(0, 3), []byte("abc"), // data
		head(0, 12), head(0, 5), // a body that looks like a head
		head(0, 40<<10), make([]byte, 40<<10), // more than is kept
		head(1, 9),
	} {
		n, err := p.Write(b)
		if n != len(b) || err != nil {
			t.Fatalf("wrote %d of %d bytes: %v", n, len(b), err)
		}
		want = append(want, b...)
	}
	if !bytes.Equal(out.Bytes(), want) || out.writes != 6 {
		t.Fatalf("%d bytes in %d writes, want %d in 6", out.Len(), out.writes, len(want))
	}
}

// recorded is a connection that keeps what is written.
type recorded struct {
	net.Conn
	bytes.Buffer
	writes int
}

func (r *recorded) Write(b []byte) (int, error) {
	r.writes++
	return r.Buffer.Write(b)
}

func (r *recorded) Read(b []byte) (int, error) { return r.Buffer.Read(b) }

func mustListen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
