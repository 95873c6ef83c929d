package messenger_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"clementineyard/internal/messenger"
	"clementineyard/wire"
)

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// start runs the messenger of one entry VM until the returned function is called.
func start(cfg messenger.Config, ln net.Listener) (*messenger.Messenger, func()) {
	cfg.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	m := messenger.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		m.Run(ctx, ln)
		close(ended)
	}()
	return m, func() {
		cancel()
		<-ended
	}
}

func waitConnected(t testing.TB, m *messenger.Messenger, peer string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if m.Connected(peer) {
			return
		}
	}
	t.Fatalf("no connection to %s", peer)
}

func lookup(key string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Lookup{Lookup: &wire.Lookup{Key: key}}}
}

type outcome struct {
	key string
	err error
}

func call(m *messenger.Messenger, peer, key string, wait time.Duration) <-chan outcome {
	done := make(chan outcome, 2)
	m.Call(peer, messenger.RelayStream, lookup(key), time.Now().Add(wait), func(e *wire.Envelope, err error) {
		done <- outcome{e.GetAnswer().GetKey(), err}
	})
	return done
}

// TestRepliesReachTheirOwnCall guards against replies that arrive out of order, twice or not at all and end the call of
// another message, or end a call twice.
func TestRepliesReachTheirOwnCall(t *testing.T) {
	lnA, lnB := listen(t), listen(t)
	peers := []messenger.Peer{{Name: "a", Address: lnA.Addr().String()}, {Name: "b", Address: lnB.Addr().String()}}
	held := make(chan func(), 1)
	_, stopB := start(messenger.Config{Name: "b", Token: "x", Peers: peers, Handle: func(_ string, m *wire.Envelope, reply func(*wire.Envelope)) {
		answer := func() {
			reply(&wire.Envelope{Body: &wire.Envelope_Answer{Answer: &wire.Answer{Key: m.GetLookup().GetKey()}}})
		}
		switch m.GetLookup().GetKey() {
		case "late":
			held <- answer
		case "twice":
			answer()
			answer()
		case "never":
		default:
			answer()
		}
	}}, lnB)
	a, stopA := start(messenger.Config{Name: "a", Token: "x", Peers: peers, Handle: func(string, *wire.Envelope, func(*wire.Envelope)) {}}, lnA)
	defer stopA()
	waitConnected(t, a, "b")

	late := call(a, "b", "late", time.Minute)
	never := call(a, "b", "never", 50*time.Millisecond)
	for _, key := range []string{"first", "twice", "second"} {
		if got := <-call(a, "b", key, time.Minute); got.key != key || got.err != nil {
			t.Errorf("call %q got %+v", key, got)
		}
	}
	if got := <-never; !errors.Is(got.err, messenger.ErrNoReply) {
		t.Errorf("a call without a reply got %+v, want ErrLost", got)
	}
	(<-held)()
	if got := <-late; got.key != "late" || got.err != nil {
		t.Errorf("late call got %+v", got)
	}

	// A handler may reply to a message that expects no reply.
	a.Send("b", messenger.RelayStream, lookup("no reply wanted"))
	if got := <-call(a, "b", "third", time.Minute); got.key != "third" {
		t.Errorf("call after a message without an id got %+v", got)
	}

	open := call(a, "b", "never", time.Minute)
	stopB()
	if got := <-open; !errors.Is(got.err, messenger.ErrNoReply) {
		t.Errorf("a call whose connection ended got %+v, want ErrLost", got)
	}
	for a.Connected("b") {
		time.Sleep(time.Millisecond)
	}
	if got := <-call(a, "b", "unsent", time.Minute); !errors.Is(got.err, messenger.ErrNotSent) {
		t.Errorf("a call without a connection got %+v, want ErrUnsent", got)
	}
}

// TestWrongTokenIsRefused guards against messages of a peer with a wrong token that reach the handler.
func TestWrongTokenIsRefused(t *testing.T) {
	lnA, lnB := listen(t), listen(t)
	peers := []messenger.Peer{{Name: "a", Address: lnA.Addr().String()}, {Name: "b", Address: lnB.Addr().String()}}
	handled := make(chan struct{}, 100)
	_, stopB := start(messenger.Config{Name: "b", Token: "right", Peers: peers, Handle: func(_ string, _ *wire.Envelope, reply func(*wire.Envelope)) {
		handled <- struct{}{}
		reply(lookup(""))
	}}, lnB)
	defer stopB()
	a, stopA := start(messenger.Config{Name: "a", Token: "wrong", Peers: peers, Handle: func(string, *wire.Envelope, func(*wire.Envelope)) {}}, lnA)
	defer stopA()
	for range 20 {
		if got := <-call(a, "b", "k", time.Second); got.err == nil {
			t.Fatal("a call with a wrong token was answered")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if len(handled) > 0 {
		t.Errorf("%d messages with a wrong token were handled", len(handled))
	}
}

// TestUnconfirmedConnectionIsNotConnected guards against a connection that counts as connected although something else
// has accepted it in place of an unreachable peer: calls on it would be lost, with an unknown outcome, instead of unsent.
func TestUnconfirmedConnectionIsNotConnected(t *testing.T) {
	silent, own := listen(t), listen(t)
	defer func() { _ = silent.Close() }()
	accepted := make(chan net.Conn, 100)
	go func() {
		for {
			c, err := silent.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	peers := []messenger.Peer{{Name: "a", Address: own.Addr().String()}, {Name: "b", Address: silent.Addr().String()}}
	a, stop := start(messenger.Config{Name: "a", Token: "x", Peers: peers, Handle: func(string, *wire.Envelope, func(*wire.Envelope)) {}}, own)
	defer stop()
	for range 2 {
		c := <-accepted
		var b [1]byte
		if _, err := c.Read(b[:]); err != nil { // The hello has arrived, so the caller's side is set up.
			t.Fatal(err)
		}
		if a.Connected("b") {
			t.Fatal("connected before the peer has confirmed the session")
		}
		if got := <-call(a, "b", "k", time.Minute); !errors.Is(got.err, messenger.ErrNotSent) {
			t.Errorf("got %+v, want ErrUnsent", got)
		}
	}
}

// TestPanicEndsOneStream guards against a message that takes down the whole process, and against a peer that can no longer
// be called after such a message.
func TestPanicEndsOneStream(t *testing.T) {
	aLn, bLn := listen(t), listen(t)
	peers := []messenger.Peer{{Name: "a", Address: aLn.Addr().String()}, {Name: "b", Address: bLn.Addr().String()}}
	a, stopA := start(messenger.Config{Name: "a", Token: "t", Peers: peers, Handle: func(string, *wire.Envelope, func(*wire.Envelope)) {}}, aLn)
	defer stopA()
	_, stopB := start(messenger.Config{Name: "b", Token: "t", Peers: peers, Handle: func(_ string, e *wire.Envelope, reply func(*wire.Envelope)) {
		if e.GetLookup().GetKey() == "bad" {
			panic("unexpected")
		}
		reply(lookup("answer"))
	}}, bLn)
	defer stopB()
	waitConnected(t, a, "b")
	if o := <-call(a, "b", "bad", time.Second); !errors.Is(o.err, messenger.ErrNoReply) {
		t.Fatalf("the bad message got %q, error %v", o.key, o.err)
	}
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if o := <-call(a, "b", "good", time.Second); o.err == nil {
			return
		}
		if time.Now().After(until) {
			t.Fatal("the peer cannot be called after the bad message")
		}
	}
}
