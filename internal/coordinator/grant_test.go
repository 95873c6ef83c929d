package coordinator

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/notifier"
	"clementineyard/wire"
)

// TestDecide guards against a failure domain that stays without an owner, and against an owner that is replaced while it
// is heard, while the leader has not listened long enough, or while nobody could take its place.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	a := notifier.Presence{Name: "a", Incarnation: 1, FailureDomain: "d", Eligible: true, Alive: true, Since: now}
	b := notifier.Presence{Name: "b", Incarnation: 2, FailureDomain: "d", Eligible: true, Alive: true, Since: now.Add(1)}
	dead := func(p notifier.Presence) notifier.Presence { p.Alive = false; return p }
	leaving := func(p notifier.Presence) notifier.Presence { p.Eligible = false; return p }
	reborn := func(p notifier.Presence) notifier.Presence { p.Incarnation, p.Since = 9, now.Add(2); return p }
	for name, c := range map[string]struct {
		owner   string
		settled bool
		present []notifier.Presence
		want    string
	}{
		"first owner":                       {"", false, []notifier.Presence{a, b}, "a"},
		"owner is heard":                    {"b", true, []notifier.Presence{a, b}, ""},
		"owner is silent":                   {"a", true, []notifier.Presence{dead(a), b}, "b"},
		"owner is silent, leader is new":    {"a", false, []notifier.Presence{dead(a), b}, ""},
		"owner leaves":                      {"a", true, []notifier.Presence{leaving(a), b}, "b"},
		"owner has restarted":               {"a", false, []notifier.Presence{reborn(a), b}, "b"},
		"nobody could take its place":       {"a", true, []notifier.Presence{dead(a), dead(b)}, ""},
		"owner leaves, nobody takes over":   {"a", true, []notifier.Presence{leaving(a)}, ""},
		"only the restarted owner is heard": {"a", false, []notifier.Presence{reborn(a)}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			st := newState(nil)
			if c.owner != "" {
				st.grants["d/0"] = &wire.Grant{FailureDomain: "d", Cells: 1, Owner: c.owner, Incarnation: map[string]uint64{"a": 1, "b": 2}[c.owner]}
			}
			// The failure domain was heard long enough ago to be divided.
			g := granter{leading: true, tickedAt: now.Add(-tickEvery), pending: map[string]time.Time{}, heardAt: map[string]time.Time{"d": now.Add(-divideAfter)}}
			if !c.settled {
				g.settledAt = now.Add(settleAfter)
			}
			got := ""
			for _, grant := range g.decide(now, true, st, c.present) {
				got += grant.Owner
			}
			if got != c.want {
				t.Fatalf("granted to %q, want %q", got, c.want)
			}
			if more := g.decide(now.Add(tickEvery), true, st, c.present); len(more) > 0 {
				t.Fatalf("granted again while the first is on its way: %v", more)
			}
		})
	}
}

// TestPause guards against a leader that wakes from a freeze and replaces owners whose watches it could not hear.
func TestPause(t *testing.T) {
	now := time.Unix(1000, 0)
	st := newState(nil)
	st.grants["d/0"] = &wire.Grant{FailureDomain: "d", Cells: 1, Owner: "a", Incarnation: 1}
	b := []notifier.Presence{{Name: "b", FailureDomain: "d", Eligible: true, Alive: true}}
	g := granter{leading: true, tickedAt: now, pending: map[string]time.Time{}}
	if got := g.decide(now.Add(pauseLimit+tickEvery), true, st, b); len(got) > 0 {
		t.Fatal("the owner is replaced right after a pause")
	}
	later := now.Add(pauseLimit + tickEvery)
	for range int(settleAfter / tickEvery) {
		later = later.Add(tickEvery)
		if got := g.decide(later, true, st, b); len(got) > 0 {
			return
		}
	}
	t.Fatal("the owner is never replaced")
}

// TestApply guards against an older configuration taking effect, against two grants with one fence, and against a state
// that counts as newer, and goes to every entry VM, where an entry has changed nothing.
func TestApply(t *testing.T) {
	st := newState(nil)
	for i, c := range []struct {
		cmd     *wire.AgreedCommand
		version uint64
		changed bool
	}{
		{&wire.AgreedCommand{Config: &wire.FleetConfig{Version: 5, Content: []byte("five")}}, 5, true},
		{&wire.AgreedCommand{Config: &wire.FleetConfig{Version: 4, Content: []byte("four")}}, 5, false},
		{&wire.AgreedCommand{Config: &wire.FleetConfig{Version: 5, Content: []byte("other")}}, 5, false},
		{&wire.AgreedCommand{Grant: &wire.Grant{FailureDomain: "d", Cells: 1, Owner: "a"}}, 5, true},
		{&wire.AgreedCommand{Grant: &wire.Grant{FailureDomain: "d", Cells: 1, Owner: "a"}}, 5, true},
		{&wire.AgreedCommand{Grant: &wire.Grant{FailureDomain: "d", Cells: 2, Owner: "b"}}, 5, false},
		{&wire.AgreedCommand{}, 5, false},
		{&wire.AgreedCommand{Config: &wire.FleetConfig{Version: 9}}, 9, true},
	} {
		b, err := proto.Marshal(c.cmd)
		if err != nil {
			t.Fatal(err)
		}
		before, index, held := st.grants["d/0"].GetFence(), st.index, st.message()
		changed, err := st.apply(uint64(10+i), b)
		if err != nil || changed != c.changed || st.config.Version != c.version {
			t.Fatalf("entry %d: changed %v, version %d, error %v", i, changed, st.config.Version, err)
		}
		if newer := st.index > index && st.message() != held; newer != c.changed || st.message().Index != st.index {
			t.Fatalf("entry %d: index %d after %d", i, st.index, index)
		}
		if g := st.grants["d/0"]; c.cmd.Grant != nil && c.changed && (g.Fence != uint64(10+i) || g.Fence <= before) {
			t.Fatalf("entry %d: fence %d after %d", i, g.Fence, before)
		}
	}
	if _, err := st.apply(99, []byte{0xff}); err == nil || st.config.Version != 9 {
		t.Fatal("an entry that cannot be read changes nothing and says so")
	}
	again := newState(st.message())
	if again.config.Version != 9 || again.grants["d/0"].Fence != st.grants["d/0"].Fence || again.index != st.index {
		t.Fatal("the state does not survive its message")
	}
}
