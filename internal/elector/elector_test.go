package elector_test

import (
	"testing"
	"time"

	"clementineyard/internal/elector"
	"clementineyard/wire"
)

const (
	lease = 900 * time.Millisecond
	renew = 150 * time.Millisecond
)

var start = time.UnixMilli(1_764_846_000_000)

func newElector(name string, started time.Time, members ...string) *elector.Elector {
	c := elector.Config{Name: name, Group: "casa-a", Incarnation: uint64(started.UnixMilli()), Started: started, Lease: lease, RenewInterval: renew, Seed: 7}
	for _, m := range members {
		c.Members = append(c.Members, elector.Member{Name: m, Witness: m == "witness"})
	}
	return elector.New(c)
}

func message(kind wire.ElectorMessage_Kind, from, to string, epoch, sequence uint64) *wire.ElectorMessage {
	return &wire.ElectorMessage{Kind: kind, Group: "casa-a", From: from, To: to, Epoch: epoch, Sequence: sequence, Incarnation: 1, Granted: true}
}

// tickUntil ticks every 10 ms until the elector sends a message of the kind, and returns the message and its time.
func tickUntil(t *testing.T, e *elector.Elector, now time.Time, kind wire.ElectorMessage_Kind) (*wire.ElectorMessage, time.Time) {
	t.Helper()
	for range 500 {
		for _, m := range e.Tick(now) {
			if m.Kind == kind {
				return m, now
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	t.Fatalf("no %s within 5 s", kind)
	return nil, now
}

// elect makes "a" of {a, b, c} the owner with b's vote. It returns a's elector, the epoch and the time of the vote
// request.
func elect(t *testing.T) (*elector.Elector, uint64, time.Time) {
	t.Helper()
	e := newElector("a", start, "a", "b", "c")
	pre, now := tickUntil(t, e, start, wire.ElectorMessage_KIND_PRE_VOTE)
	votes := e.Step(now, message(wire.ElectorMessage_KIND_PRE_VOTE_REPLY, "b", "a", pre.Epoch, pre.Sequence))
	if len(votes) != 2 || votes[0].Kind != wire.ElectorMessage_KIND_VOTE {
		t.Fatalf("got %v after a majority of pre-votes", votes)
	}
	e.Step(now.Add(50*time.Millisecond), message(wire.ElectorMessage_KIND_VOTE_REPLY, "b", "a", votes[0].Epoch, votes[0].Sequence))
	return e, votes[0].Epoch, now
}

// The lease must start when the acknowledged vote request or renewal was sent; counted from the reply it would outlast
// the promises.
func TestLeaseCountsFromSendTime(t *testing.T) {
	e, epoch, sent := elect(t)
	if epoch < uint64(sent.UnixMilli()) {
		t.Errorf("epoch %d is below the Unix time in milliseconds", epoch)
	}
	if got := e.Ownership(sent).LeaseEnd; !got.Equal(sent.Add(lease)) {
		t.Errorf("lease until %s after the vote, want %s", got.Sub(sent), lease)
	}
	m, now := tickUntil(t, e, sent.Add(60*time.Millisecond), wire.ElectorMessage_KIND_RENEW)
	e.Step(now.Add(100*time.Millisecond), message(wire.ElectorMessage_KIND_RENEWED, "c", "a", epoch, m.Sequence))
	if got := e.Ownership(now).LeaseEnd; !got.Equal(now.Add(lease)) {
		t.Errorf("lease until %s after the renewal, want %s", got.Sub(now), lease)
	}
	late := now.Add(lease)
	e.Step(late, message(wire.ElectorMessage_KIND_RENEWED, "b", "a", epoch, m.Sequence+1))
	if e.Ownership(late).HeldHere {
		t.Error("a lease that had ended was resumed")
	}
	if next, _ := tickUntil(t, e, late, wire.ElectorMessage_KIND_PRE_VOTE); next.Epoch <= epoch {
		t.Errorf("new epoch %d is not larger than %d", next.Epoch, epoch)
	}
}

// A restarted member has lost its promises, so it must make none until the lost ones have expired.
func TestRestartedMemberWaitsOneLease(t *testing.T) {
	for _, kind := range []wire.ElectorMessage_Kind{
		wire.ElectorMessage_KIND_PRE_VOTE, wire.ElectorMessage_KIND_VOTE, wire.ElectorMessage_KIND_RENEW,
	} {
		for after, want := range map[time.Duration]bool{0: false, lease - 1: false, lease: true} {
			e := newElector("b", start, "a", "b", "c")
			out := e.Step(start.Add(after), message(kind, "a", "b", 1<<50, 1))
			if got := len(out) == 1 && out[0].Granted; got != want {
				t.Errorf("%s %s after the start: granted %t, want %t", kind, after, got, want)
			}
		}
	}
}

// A vote or an acknowledged renewal binds a member for one lease; breaking it would allow two owners.
func TestPromise(t *testing.T) {
	for _, c := range []struct {
		name  string
		first wire.ElectorMessage_Kind
		from  string
		epoch uint64
		after time.Duration
		want  bool
	}{
		{"vote for another after a vote", wire.ElectorMessage_KIND_VOTE, "c", 1 << 51, lease - 1, false},
		{"vote for another after a renewal", wire.ElectorMessage_KIND_RENEW, "c", 1 << 51, lease - 1, false},
		{"promise has ended", wire.ElectorMessage_KIND_RENEW, "c", 1 << 51, lease, true},
		{"repeated vote", wire.ElectorMessage_KIND_VOTE, "a", 1 << 50, 1, true},
		{"same epoch for another", wire.ElectorMessage_KIND_VOTE, "c", 1 << 50, 2 * lease, false},
		{"older epoch", wire.ElectorMessage_KIND_VOTE, "c", 1 << 49, 2 * lease, false},
	} {
		e, now := newElector("b", start, "a", "b", "c"), start.Add(lease)
		e.Step(now, message(c.first, "a", "b", 1<<50, 1))
		out := e.Step(now.Add(c.after), message(wire.ElectorMessage_KIND_VOTE, c.from, "b", c.epoch, 2))
		if len(out) != 1 || out[0].Granted != c.want {
			t.Errorf("%s: got %v, want granted %t", c.name, out, c.want)
		}
	}
}

// A witness must never become a candidate, and the only member of a group must become the owner one lease after its
// start.
func TestCandidates(t *testing.T) {
	w, one := newElector("witness", start, "a", "witness"), newElector("a", start, "a")
	for d := time.Duration(0); d < 10*time.Second; d += 10 * time.Millisecond {
		if out := w.Tick(start.Add(d)); len(out) > 0 {
			t.Fatalf("witness sent %v", out)
		}
		one.Tick(start.Add(d))
		if got := one.Ownership(start.Add(d)).HeldHere; got != (d >= lease) {
			t.Fatalf("group of one: held %t after %s", got, d)
		}
	}
}

// A refusal by one member with a newer epoch must not end an ownership that a majority acknowledges.
func TestRefusalOfOneMemberDoesNotDepose(t *testing.T) {
	e, epoch, now := elect(t)
	r := message(wire.ElectorMessage_KIND_RENEWED, "c", "a", epoch+64, 1)
	r.Granted = false
	e.Step(now.Add(60*time.Millisecond), r)
	if !e.Ownership(now.Add(60 * time.Millisecond)).HeldHere {
		t.Error("the owner stepped down")
	}
}
