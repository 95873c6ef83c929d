package replicator

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// FuzzStep guards against a message of another VM that ends the process, and against one that breaks the log: its entries
// must have consecutive indices, and the commit index must not go back or pass the end.
func FuzzStep(f *testing.F) {
	members := []*wire.ConfigMember{{Name: "a", DiskId: "1", Voter: true}, {Name: "b", DiskId: "2", Voter: true}, {Name: "c", DiskId: "3", Voter: true}}
	now := time.Unix(1000, 0)
	seed := func(leads bool, messages ...*wire.ConfigMessage) {
		for _, m := range messages {
			m.From, m.To, m.DiskId = "b", "a", "2"
		}
		b, err := proto.Marshal(&wire.Batch{Envelopes: envelopes(messages)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(leads, b)
	}
	for _, leads := range []bool{false, true} {
		for kind := range wire.ConfigMessage_Kind_name {
			k := wire.ConfigMessage_Kind(kind)
			seed(leads, &wire.ConfigMessage{Kind: k, Term: 4, Granted: true})
			seed(leads, &wire.ConfigMessage{Kind: k, Term: 9, LogIndex: 5, LogTerm: 4, Commit: 90, MatchIndex: 90, RejectHint: 90, Granted: true})
			seed(leads, &wire.ConfigMessage{
				Kind: k, Term: 9, LogIndex: 5, LogTerm: 4, Commit: 9, Entries: []*wire.ConfigEntry{{Index: 9, Term: 9}, {Index: 2, Term: 9}, {}},
				Snapshot: &wire.ConfigSnapshot{Index: 50, Term: 9},
			}, &wire.ConfigMessage{Kind: wire.ConfigMessage_KIND_PRE_VOTE, Round: introductionRound, Granted: true})
		}
	}
	f.Fuzz(func(t *testing.T, leads bool, b []byte) {
		batch := &wire.Batch{}
		if proto.Unmarshal(b, batch) != nil {
			return
		}
		r := New(Config{Name: "a", Voters: []string{"a", "b", "c"}, ElectionTimeout: 500 * time.Millisecond, TargetVoters: 3, ReplaceAfter: time.Second}, storer.State{
			Identity: storer.Identity{DiskID: "1"}, HardState: storer.HardState{Term: 4}, CommitIndex: 5, BaseIndex: 4, BaseTerm: 4,
			Snapshot: &wire.ConfigSnapshot{Index: 4, Term: 4, Members: members}, Entries: []*wire.ConfigEntry{{Index: 5, Term: 4}, {Index: 6, Term: 4}},
		})
		r.Tick(now)
		if leads {
			r.becomeLeader(now)
			r.takeOutput()
		}
		at, commit := now, r.log.commitIndex
		for _, e := range batch.Envelopes {
			at = at.Add(50 * time.Millisecond)
			if m := e.GetConfigMessage(); m != nil {
				r.Step(at, m)
			}
			r.Tick(at)
			for i, stored := range r.log.entries {
				if want := r.log.baseIndex + uint64(i) + 1; stored.Index != want {
					t.Fatalf("entry %d of the log has index %d", want, stored.Index)
				}
			}
			if r.log.commitIndex < commit || r.log.commitIndex > r.log.lastIndex() {
				t.Fatalf("commit index %d after %d, with a log up to %d", r.log.commitIndex, commit, r.log.lastIndex())
			}
			commit = r.log.commitIndex
			r.Status(at)
		}
	})
}

func envelopes(messages []*wire.ConfigMessage) []*wire.Envelope {
	out := make([]*wire.Envelope, len(messages))
	for i, m := range messages {
		out[i] = &wire.Envelope{Body: &wire.Envelope_ConfigMessage{ConfigMessage: m}}
	}
	return out
}
