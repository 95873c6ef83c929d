package notifier

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/compressor"
	"clementineyard/wire"
)

// TestWatchWait guards against watches that are answered more often than needed, or too late to show that an entry VM
// is alive, and against updates that are delayed.
func TestWatchWait(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed, leads bool
		// update arrives after the watch.
		update *wire.WorkerReport
		// answeredAfter is the shortest of the waits after which a flush answers.
		answeredAfter time.Duration
	}{
		"leader":                         {confirmed: true, leads: true, answeredAfter: WatchPollTime},
		"no leader":                      {answeredAfter: WatchPollTime},
		"follower":                       {confirmed: true, answeredAfter: followerWatchPollTime},
		"follower, a worker's report":    {confirmed: true, update: worker("north"), answeredAfter: 0},
		"follower, another domain's one": {confirmed: true, update: worker("south"), answeredAfter: followerWatchPollTime},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			n := newNotifier(&now)
			n.Publish(&wire.AgreedState{}, c.confirmed, c.leads, nil)
			var got *wire.WatchReply
			n.Watch("e", &wire.Watch{Incarnation: 1, FailureDomain: "north"}, func(r *wire.WatchReply) { got = r })
			if c.update != nil {
				n.Report(c.update)
			}
			for _, wait := range []time.Duration{0, WatchPollTime - 1, WatchPollTime, followerWatchPollTime - 1, followerWatchPollTime} {
				now = time.Unix(1000, 0).Add(wait)
				n.flush()
				if answered := got != nil; answered != (wait >= c.answeredAfter) {
					t.Fatalf("after %v: answered %v", wait, answered)
				}
			}
			if want := c.update.GetFailureDomain() == "north"; (len(got.Reports) > 0) != want {
				t.Fatalf("reports %v", got.Reports)
			}
		})
	}
}

// TestNewLeaderAnswersWatches guards against a new leader that considers entry VMs dead whose watches waited while it
// was a follower.
func TestNewLeaderAnswersWatches(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNotifier(&now)
	n.Publish(&wire.AgreedState{}, true, false, nil)
	answered := false
	n.Watch("e", &wire.Watch{Incarnation: 1}, func(*wire.WatchReply) { answered = true })
	now = now.Add(LivenessTimeout)
	n.flush()
	if answered {
		t.Fatal("a follower answered early")
	}
	n.Publish(&wire.AgreedState{}, true, true, nil)
	n.flush()
	if !answered {
		t.Fatal("a new leader did not answer a watch that had waited longer than WatchWait")
	}
}

// TestHeldStateIsOmitted guards against sending a configuration of up to 256 KiB and all grants to every entry VM with
// each change of an owner, and against leaving out something newer.
func TestHeldStateIsOmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNotifier(&now)
	n.Publish(&wire.AgreedState{Index: 9, Config: &wire.FleetConfig{Version: 5}, Grants: []*wire.Grant{{Owner: "d", Fence: 7}, {Owner: "e", Fence: 9}}}, true, true, nil)
	for held, sent := range map[uint64]bool{0: true, 4: true, 5: false} {
		n.Watch("e", &wire.Watch{Incarnation: 1, Index: 8, ConfigVersion: held}, func(r *wire.WatchReply) {
			if (r.State.Config != nil) != sent || r.State.Index != 9 || len(r.State.Grants) != 1 || r.State.Grants[0].Owner != "e" {
				t.Errorf("state for a holder of version %d: %v", held, r.State)
			}
		})
	}
}

// TestRoomsAreBounded guards against replies that grow with the fleet, and against replies that list only cells of
// other failure domains.
func TestRoomsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNotifier(&now)
	for i := range 50 {
		for _, domain := range []string{"north", "south"} {
			name := fmt.Sprint(domain, i)
			n.Watch(name, &wire.Watch{Incarnation: 1, FailureDomain: domain, Rooms: []*wire.CellRoom{{Cell: name}}}, func(*wire.WatchReply) {})
		}
	}
	local := 0
	rooms := n.roomsFor("south")
	for _, r := range rooms {
		if strings.HasPrefix(r.Cell, "south") {
			local++
		}
	}
	if local != maxLocalRooms || len(rooms) != maxLocalRooms+maxRemoteRooms {
		t.Fatalf("%d cells, %d of them local", len(rooms), local)
	}
	now = now.Add(2 * WatchPollTime)
	if rooms := n.roomsFor("south"); len(rooms) > 0 {
		t.Fatalf("%d cells whose room was reported too long ago", len(rooms))
	}
}

func newNotifier(now *time.Time) *Notifier {
	return New(Config{
		Incarnation: 7, ForgetAfter: time.Hour, Now: func() time.Time { return *now },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

func worker(domain string) *wire.WorkerReport {
	return &wire.WorkerReport{Id: "w", Sequence: 1, FailureDomain: domain}
}

// TestReportsAreSentInParts guards against a reply with more reports than a connection carries.
func TestReportsAreSentInParts(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNotifier(&now)
	n.Publish(&wire.AgreedState{}, true, true, nil)
	const workers = 5000
	for i := range workers {
		n.Report(&wire.WorkerReport{Id: fmt.Sprint(i), Sequence: 1, FailureDomain: "north", Labels: []string{strings.Repeat("x", 4096)}})
		n.Report(&wire.WorkerReport{Id: fmt.Sprint(i), Sequence: 1, FailureDomain: "south"})
	}
	got := map[string]bool{}
	w := &wire.Watch{Incarnation: 1, FailureDomain: "north", VoterIncarnation: 7}
	for replies := 0; len(got) < workers; replies++ {
		var r *wire.WatchReply
		n.Watch("e", w, func(reply *wire.WatchReply) { r = reply })
		if r == nil {
			t.Fatalf("reply %d does not come at once; %d of %d reports were sent", replies, len(got), workers)
		}
		if size := proto.Size(r); size > 8<<20 {
			t.Fatalf("a reply of %d bytes", size)
		}
		for _, report := range r.Reports {
			if got[report.Id] {
				t.Fatalf("report of %s was sent twice", report.Id)
			}
			got[report.Id] = true
		}
		w.ReportSequence = r.ReportSequence
	}
	n.Watch("e", w, func(r *wire.WatchReply) { t.Errorf("a reply with %d reports when all were sent", len(r.Reports)) })
}

// TestStalledVoterConfirmsNothing guards against a voter that waits for its disk and goes on confirming an old state.
func TestStalledVoterConfirmsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNotifier(&now)
	n.Publish(&wire.AgreedState{Index: 9}, true, false, nil)
	confirmed := func() bool {
		var got *wire.WatchReply
		n.Watch("e", &wire.Watch{Incarnation: 1}, func(r *wire.WatchReply) { got = r })
		return got.Confirmed
	}
	if !confirmed() {
		t.Fatal("not confirmed at once")
	}
	now = now.Add(2 * time.Second)
	if confirmed() {
		t.Fatal("still confirmed 2 s after the voter published its state")
	}
	n.Publish(&wire.AgreedState{Index: 9}, true, false, nil)
	if !confirmed() {
		t.Fatal("not confirmed after the voter published its state again")
	}
}

// TestRemovalOfFormerIncarnation guards against a restarted worker that a late removal ends.
func TestRemovalOfFormerIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(Config{ForgetAfter: time.Minute, Now: func() time.Time { return now }, Log: slog.New(slog.DiscardHandler)})
	report := func(born int64, sequence uint64) bool {
		return n.Report(&wire.WorkerReport{Id: "w", Born: born, Sequence: sequence, Service: "s", FailureDomain: "north"})
	}
	report(1, 7)
	report(2, 1)
	n.RemoveWorker("w")
	if !report(2, 2) {
		t.Error("the next report of the worker's present incarnation counts as outdated")
	}
}

// TestConfigurationIsCompressed guards against configurations that take an entry VM's whole link for seconds, as all
// voters send them, and against an entry VM of an earlier build that gets one it cannot read.
func TestConfigurationIsCompressed(t *testing.T) {
	now := time.Unix(1000, 0)
	n := newNotifier(&now)
	for version := uint64(1); version <= 2; version++ {
		content := bytes.Repeat(fmt.Appendf(nil, `{"version":%d,"host":"nony24.example","path-prefix":"/lohu930/","kind":"non_idempotent"}`, version), 100)
		n.Publish(&wire.AgreedState{Index: 10 * version, Config: &wire.FleetConfig{Version: version, Content: content}}, true, true, nil)
		for name, accepts := range map[string]bool{"a": true, "b": true, "former build": false} {
			var got *wire.WatchReply
			n.Watch(name, &wire.Watch{Incarnation: 1, FailureDomain: "north", AcceptsCompressed: accepts}, func(r *wire.WatchReply) { got = r })
			c := got.GetState().GetConfig()
			if c.GetVersion() != version || accepts != (len(c.Content) == 0) {
				t.Fatalf("%s: version %d with %d bytes of content, compressed %d", name, c.GetVersion(), len(c.GetContent()), len(c.GetCompressed()))
			}
			if size := proto.Size(got); accepts && size > len(content)/10 {
				t.Fatalf("%s: the reply has %d bytes, the configuration %d", name, size, len(content))
			}
			received := c.Content
			if accepts {
				var err error
				if received, err = compressor.Decompress(c.Compressed, len(content)); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(received, content) {
				t.Fatalf("%s: the content is not what was published", name)
			}
		}
	}
}
