package forwarder_test

import (
	"io"
	"net"
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/forwarder"
)

// echo starts a TCP server that returns every byte, so that a test observes both directions of a link. It returns the
// server's address.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

func read(c net.Conn, wait time.Duration) (byte, error) {
	var b [1]byte
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	_, err := c.Read(b[:])
	return b[0], err
}

// TestCutStallsOneDirectionAndHeals guards against a cut that closes the connection or loses bytes permanently, which
// would be a different fault from a silent partition.
func TestCutStallsOneDirectionAndHeals(t *testing.T) {
	n := forwarder.New()
	defer n.Close()
	address, err := n.Add("a", "b", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for _, cut := range []struct{ from, to string }{{"a", "b"}, {"b", "a"}} {
		n.Cut(cut.from, cut.to, true)
		if _, err := c.Write([]byte{7}); err != nil {
			t.Fatal(err)
		}
		if _, err := read(c, 100*time.Millisecond); err == nil {
			t.Errorf("cut %s to %s: the answer was received", cut.from, cut.to)
		}
		n.Cut(cut.from, cut.to, false)
		if b, err := read(c, 10*time.Second); err != nil || b != 7 {
			t.Errorf("cut %s to %s ended: got %d, %v", cut.from, cut.to, b, err)
		}
	}
}
