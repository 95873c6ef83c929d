package pinger_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"clementineyard/internal/pinger"
	"clementineyard/wire"
)

const limit = 10 * time.Second

func newPinger(t *testing.T, bind, peer, token string, handle func(*wire.Datagram)) *pinger.Pinger {
	t.Helper()
	p, err := pinger.New(pinger.Config{
		Bind: bind, Peers: map[string]string{"peer": peer}, Token: token, Handle: handle,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func ping(from string) *wire.Datagram {
	return &wire.Datagram{Body: &wire.Datagram_Ping{Ping: &wire.Ping{From: from}}}
}

func waitUntil(t *testing.T, what string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("not within %s: %s", limit, what)
}

// TestForgedDatagramsAreRejected guards against datagrams without the token that reach the handler, and against an
// oversized datagram that is sent although it would be lost on the way.
func TestForgedDatagramsAreRejected(t *testing.T) {
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.LocalAddr().String()
	if err := probe.Close(); err != nil {
		t.Fatal(err)
	}
	got := make(chan string, 64)
	receiver := newPinger(t, address, address, "right", func(d *wire.Datagram) { got <- d.GetPing().GetFrom() })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- receiver.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	friend := newPinger(t, address, address, "right", nil)
	waitUntil(t, "the receiver is up", func() bool {
		friend.Send("peer", ping("friend"))
		return len(got) > 0
	})
	raw, err := net.Dial("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	// A valid datagram, captured on another socket, to be altered and truncated.
	tap, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tap.Close() }()
	newPinger(t, address, tap.LocalAddr().String(), "right", nil).Send("peer", ping("changed"))
	buf := make([]byte, 2048)
	n, _, err := tap.ReadFrom(buf)
	if err != nil {
		t.Fatal(err)
	}
	good := buf[:n]
	flipped := bytes.Clone(good)
	flipped[n-1] ^= 1
	forged := [][]byte{flipped, good[:n-1], good[:16], good[:3], bytes.Repeat([]byte{0}, 16+1), bytes.Repeat([]byte{7}, 1400)}
	for _, b := range forged {
		if _, err := raw.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	newPinger(t, address, address, "wrong", nil).Send("peer", ping("stranger"))
	waitUntil(t, "all forged datagrams are rejected", func() bool { return receiver.Stats().Rejected == int64(len(forged)+1) })
	if dropped := receiver.Stats().Dropped; dropped != 0 {
		t.Errorf("%d datagrams were dropped, want 0", dropped)
	}
	before := friend.Stats()
	friend.Send("peer", ping(strings.Repeat("x", 1400)))
	if s := friend.Stats(); s.Rejected != before.Rejected+1 || s.SentBytes != before.SentBytes {
		t.Errorf("an oversized datagram was not rejected: stats %+v, before %+v", s, before)
	}
	friend.Send("peer", ping("last"))
	for from := ""; from != "last"; {
		select {
		case from = <-got:
		case <-time.After(limit):
			t.Fatal("the last valid datagram did not arrive")
		}
		if from != "friend" && from != "last" {
			t.Errorf("a forged datagram from %q was handled", from)
		}
	}
}
