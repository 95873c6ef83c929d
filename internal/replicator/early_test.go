package replicator

import (
	"testing"
	"time"

	"clementineyard/internal/storer"
	"clementineyard/wire"
)

// TestFirstElectionIsEarly guards against a slow election after all voters have lost power: a voter must not wait for a
// whole election timeout before its first pre-vote, nor for another one after that pre-vote has failed because the
// voters were still connecting to each other.
func TestFirstElectionIsEarly(t *testing.T) {
	const timeout = 500 * time.Millisecond
	members := []*wire.ConfigMember{{Name: "a", DiskId: "1", Voter: true}, {Name: "b", DiskId: "2", Voter: true}, {Name: "c", DiskId: "3", Voter: true}}
	for seed := range uint64(50) {
		r := New(Config{Name: "a", Voters: []string{"a", "b", "c"}, ElectionTimeout: timeout, Seed: seed}, storer.State{
			Identity: storer.Identity{DiskID: "1"}, HardState: storer.HardState{Term: 4}, CommitIndex: 1, BaseIndex: 1, BaseTerm: 4,
			Snapshot: &wire.ConfigSnapshot{Index: 1, Term: 4, Members: members},
		})
		now := time.Unix(1000, 0)
		var requestedAt []time.Duration
		for at := time.Duration(0); at <= 2*timeout; at += 5 * time.Millisecond {
			for _, m := range r.Tick(now.Add(at)).Messages {
				if m.Kind == wire.ConfigMessage_KIND_PRE_VOTE && m.To == "b" {
					requestedAt = append(requestedAt, at)
				}
			}
		}
		if len(requestedAt) < 2 || requestedAt[0] > timeout*4/5 || requestedAt[1]-requestedAt[0] > timeout*7/10 {
			t.Fatalf("seed %d: pre-votes are requested after %v", seed, requestedAt)
		}
	}
}
