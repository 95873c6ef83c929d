package replicator

import (
	"testing"
	"time"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// TestCurrentAfterRestart guards against a voter that, after a restart or a cut, passes off its old state as the newest
// because it has just heard from the leader, before it has received what was committed meanwhile.
func TestCurrentAfterRestart(t *testing.T) {
	members := []*wire.ConfigMember{{Name: "a", DiskId: "1", Voter: true}, {Name: "b", DiskId: "2", Voter: true}, {Name: "c", DiskId: "3", Voter: true}}
	now := time.Unix(1000, 0)
	message := func(kind wire.ConfigMessage_Kind) *wire.ConfigMessage {
		return &wire.ConfigMessage{Kind: kind, From: "b", To: "a", DiskId: "2", Term: 4, LogTerm: 4}
	}
	for name, catchUp := range map[string]*wire.ConfigMessage{
		"by entries": func() *wire.ConfigMessage {
			m := message(wire.ConfigMessage_KIND_APPEND)
			m.LogIndex, m.Commit, m.Entries = 5, 7, []*wire.ConfigEntry{{Index: 6, Term: 4}, {Index: 7, Term: 4}}
			return m
		}(),
		"by a snapshot": func() *wire.ConfigMessage {
			m := message(wire.ConfigMessage_KIND_SNAPSHOT)
			m.Snapshot = &wire.ConfigSnapshot{Index: 7, Term: 4, Members: members}
			return m
		}(),
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Name: "a", Voters: []string{"a", "b", "c"}, ElectionTimeout: 500 * time.Millisecond}, storer.State{
				Identity: storer.Identity{DiskID: "1"}, HardState: storer.HardState{Term: 4}, CommitIndex: 5, BaseIndex: 5, BaseTerm: 4,
				Snapshot: &wire.ConfigSnapshot{Index: 5, Term: 4, Members: members},
			})
			r.Tick(now)
			if r.Status(now).Current {
				t.Fatal("a voter that has not heard from a leader counts as current")
			}
			heartbeat := message(wire.ConfigMessage_KIND_APPEND)
			heartbeat.LogIndex, heartbeat.Commit = 7, 7
			r.Step(now, heartbeat)
			if s := r.Status(now); s.Current || !s.MajorityReachable {
				t.Fatalf("status before the voter has entries 6 and 7: %+v", s)
			}
			r.Step(now, catchUp)
			if s := r.Status(now); !s.Current {
				t.Fatalf("status once the voter has them: %+v", s)
			}
			late := message(wire.ConfigMessage_KIND_APPEND)
			late.LogIndex, late.Commit = 4, 4
			r.Step(now, late)
			if s := r.Status(now); !s.Current {
				t.Fatalf("status after a delayed message: %+v", s)
			}
		})
	}
}

// TestCurrentUnderNewLeader guards against a voter that passes off its state as the newest although it lacks an entry
// that the former leader committed, as the new leader does not know yet that it is.
func TestCurrentUnderNewLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{Name: "a", Voters: []string{"a", "b", "c"}, ElectionTimeout: 500 * time.Millisecond}, storer.State{
		Identity: storer.Identity{DiskID: "1"}, HardState: storer.HardState{Term: 4}, CommitIndex: 5, BaseIndex: 5, BaseTerm: 4,
		Snapshot: &wire.ConfigSnapshot{Index: 5, Term: 4, Members: []*wire.ConfigMember{
			{Name: "a", DiskId: "1", Voter: true}, {Name: "b", DiskId: "2", Voter: true}, {Name: "c", DiskId: "3", Voter: true},
		}},
	})
	r.Tick(now)
	// Entry 6 was committed in term 4, by the voters b and c. Entry 7 is the new leader's first.
	heartbeat := &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_APPEND, From: "b", To: "a", DiskId: "2", Term: 5, LogIndex: 7, LogTerm: 5, Commit: 5}
	r.Step(now, heartbeat)
	if s := r.Status(now); s.Current {
		t.Fatalf("status before the voter has entry 6: %+v", s)
	}
	entries := []*wire.ConfigEntry{{Index: 6, Term: 4}, {Index: 7, Term: 5}}
	r.Step(now, &wire.ConfigMessage{
		Kind: wire.ConfigMessage_KIND_APPEND, From: "b", To: "a", DiskId: "2", Term: 5, LogIndex: 5, LogTerm: 4, Entries: entries, Commit: 7,
	})
	if s := r.Status(now); !s.Current {
		t.Fatalf("status once the new leader's first entry is committed: %+v", s)
	}
}
