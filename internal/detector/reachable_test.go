package detector_test

import (
	"testing"
	"time"

	"clementineyard/internal/detector"
	"clementineyard/wire"
)

const pingEvery = 500 * time.Millisecond

var start = time.UnixMilli(1_764_846_000_000)

func newDetector() *detector.Detector {
	return detector.New(detector.Config{
		Name: "a", Incarnation: 7, Peers: []string{"a", "b"}, PingEvery: pingEvery,
		Describe: func(p *wire.Ping) { p.FailureDomain = "casa-a" },
	})
}

// onlyPeer returns what the detector knows about its only peer.
func onlyPeer(t *testing.T, d *detector.Detector, now time.Time) detector.Peer {
	t.Helper()
	ps := d.Peers(now)
	if len(ps) != 1 || ps[0].Name != "b" {
		t.Fatalf("peers %v, want b alone", ps)
	}
	return ps[0]
}

// TestOneWayLoss guards against a VM that counts as reachable because its pings arrive, although none of its replies
// does.
func TestOneWayLoss(t *testing.T) {
	d, now := newDetector(), start
	for i := range 20 {
		now = now.Add(pingEvery)
		d.Tick(now)
		replies := d.Step(now, &wire.Ping{From: "b", Incarnation: 1, Sequence: uint64(i)})
		if len(replies) != 1 || !replies[0].Ping.Reply || replies[0].Ping.Sequence != uint64(i) || replies[0].Ping.FailureDomain != "casa-a" {
			t.Fatalf("reply to a ping: %v", replies)
		}
		if p := onlyPeer(t, d, now); p.Reachable || p.HeardAt != now || p.Last == nil {
			t.Fatalf("heard without a reply: %+v", p)
		}
	}
}

// TestReachableWhileAnswered guards against a VM that stays reachable after its replies stop, or that counts as
// unreachable after a single missing reply.
func TestReachableWhileAnswered(t *testing.T) {
	d, now := newDetector(), start
	replyToPings := func() {
		now = now.Add(pingEvery)
		for _, m := range d.Tick(now) {
			d.Step(now, &wire.Ping{From: m.To, Incarnation: 1, Sequence: m.Ping.Sequence, Reply: true})
		}
	}
	for range 5 {
		replyToPings()
		if !onlyPeer(t, d, now).Reachable {
			t.Fatal("replied and not reachable")
		}
	}
	lastReply := now
	for range 2 {
		now = now.Add(pingEvery)
		d.Tick(now)
		if !onlyPeer(t, d, now).Reachable {
			t.Errorf("not reachable %s after the last reply", now.Sub(lastReply))
		}
	}
	now = now.Add(pingEvery)
	d.Tick(now)
	if onlyPeer(t, d, now).Reachable {
		t.Errorf("reachable %s after the last reply", now.Sub(lastReply))
	}
	// A reply to an old ping does not show that the VM is reachable now.
	d.Step(now, &wire.Ping{From: "b", Incarnation: 1, Sequence: 1, Reply: true})
	if onlyPeer(t, d, now).Reachable {
		t.Error("a reply to an old ping made the VM reachable")
	}
	replyToPings()
	if !onlyPeer(t, d, now).Reachable {
		t.Error("replied again and not reachable")
	}
}

// TestIncarnations guards against datagrams of an earlier process, or of an unknown sender, that are taken for those
// of the current process.
func TestIncarnations(t *testing.T) {
	d := newDetector()
	d.Tick(start)
	d.Step(start, &wire.Ping{From: "b", Incarnation: 5, Sequence: 1, ConfigVersion: 9})
	later := start.Add(time.Millisecond)
	for _, m := range []*wire.Ping{
		{From: "b", Incarnation: 4, Sequence: 1, Reply: true, ConfigVersion: 8},
		{From: "b", Incarnation: 4, Sequence: 1, ConfigVersion: 8},
		{From: "stranger", Incarnation: 6, Sequence: 1},
	} {
		if out := d.Step(later, m); out != nil {
			t.Errorf("reply to %v: %v", m, out)
		}
	}
	if p := onlyPeer(t, d, later); p.Reachable || p.HeardAt != start || p.Last.ConfigVersion != 9 {
		t.Errorf("after datagrams of an older incarnation: %+v", p)
	}
	d.Step(later, &wire.Ping{From: "b", Incarnation: 6, Sequence: 1, Reply: true, ConfigVersion: 3})
	if p := onlyPeer(t, d, later); !p.Reachable || p.Last.ConfigVersion != 3 {
		t.Errorf("after a newer incarnation: %+v", p)
	}
}

// Guards against a reply to a ping of this process's earlier run that counts: it does not show that the path works
// since the restart.
func TestReplyToAnEarlierRunDoesNotCount(t *testing.T) {
	now := time.UnixMilli(1_764_846_000_000)
	d := detector.New(detector.Config{Name: "a", Peers: []string{"b"}, PingEvery: time.Second})
	lastSequence := d.Tick(now)[0].Ping.Sequence
	for _, c := range []struct {
		sequence uint64
		want     bool
	}{{lastSequence + 1000, false}, {lastSequence, true}} {
		d.Step(now, &wire.Ping{From: "b", Reply: true, Sequence: c.sequence})
		if got := d.Peers(now)[0].Reachable; got != c.want {
			t.Errorf("reply to ping %d of %d: reachable %t, want %t", c.sequence, lastSequence, got, c.want)
		}
	}
}
