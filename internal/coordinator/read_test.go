package coordinator

import (
	"sync/atomic"
	"testing"
	"time"

	"clementineyard/wire"
)

// TestReadsShareCommand guards against reads at a follower that each take a copy of the state from the leader.
func TestReadsShareCommand(t *testing.T) {
	const reads, maxCommands = 200, 20
	g := newGroup(t)
	follower := g.voter(g.follower())
	written := make(chan *wire.AgreedResult, 1)
	command := &wire.AgreedCommand{Config: &wire.FleetConfig{Version: 1, Content: []byte("{}")}}
	follower.Propose(command, time.Now().Add(5*time.Second), func(r *wire.AgreedResult) { written <- r })
	if r := <-written; r.Verdict != wire.AgreedResult_VERDICT_COMMITTED {
		t.Fatalf("the configuration: %v", r.Verdict)
	}
	var commands atomic.Int64
	g.intercept(func(_ string, deliver func(func(*wire.Envelope, error)), answer func(*wire.Envelope, error)) {
		commands.Add(1)
		deliver(answer)
	})
	results := make(chan *wire.AgreedResult, reads)
	for range reads {
		follower.Read(time.Now().Add(5*time.Second), func(r *wire.AgreedResult) { results <- r })
	}
	states := map[*wire.AgreedState]bool{}
	for range reads {
		r := <-results
		if r.Verdict != wire.AgreedResult_VERDICT_COMMITTED || r.State.GetConfig().GetVersion() != 1 {
			t.Fatalf("a read: %v, version %d, want 1", r.Verdict, r.State.GetConfig().GetVersion())
		}
		states[r.State] = true
	}
	if n := commands.Load(); n > maxCommands {
		t.Errorf("%d reads took %d commands, want at most %d", reads, n, maxCommands)
	}
	if len(states) != 1 {
		t.Errorf("%d copies of the state, want 1", len(states))
	}
}
