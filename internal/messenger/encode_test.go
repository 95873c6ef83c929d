package messenger_test

import (
	"errors"
	"testing"
	"time"

	"clementineyard/internal/messenger"
	"clementineyard/wire"
)

// TestMessageThatCannotBeEncoded guards against a message that cannot be encoded and ends the connection.
func TestMessageThatCannotBeEncoded(t *testing.T) {
	const odd = "\xff"
	lnA, lnB := listen(t), listen(t)
	peers := []messenger.Peer{{Name: "a", Address: lnA.Addr().String()}, {Name: "b", Address: lnB.Addr().String()}}
	handle := func(_ string, m *wire.Envelope, reply func(*wire.Envelope)) {
		key := m.GetLookup().GetKey()
		if key == "odd reply" {
			key = odd
		}
		reply(&wire.Envelope{Body: &wire.Envelope_Answer{Answer: &wire.Answer{Key: key}}})
	}
	_, stopB := start(messenger.Config{Name: "b", Token: "x", Peers: peers, Handle: handle}, lnB)
	a, stopA := start(messenger.Config{Name: "a", Token: "x", Peers: peers, Handle: handle}, lnA)
	defer stopB()
	defer stopA()
	waitConnected(t, a, "b")

	const wait = 10 * time.Second
	began := time.Now()
	calls := map[string]<-chan outcome{}
	for _, key := range []string{"before", odd, "between", "odd reply", "after"} {
		calls[key] = call(a, "b", key, wait)
	}
	for key, want := range map[string]error{
		"before": nil, odd: messenger.ErrNotSent, "between": nil, "odd reply": messenger.ErrNoReply, "after": nil,
	} {
		if got := <-calls[key]; !errors.Is(got.err, want) || want == nil && got.key != key {
			t.Errorf("call %q got %+v, want error %v", key, got, want)
		}
	}
	if took := time.Since(began); took >= wait {
		t.Errorf("the calls ended after %v", took)
	}
	if !a.Connected("b") {
		t.Error("the connection has ended")
	}
}
