package taker

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/messenger"
	"clementineyard/wire"
)

// TestMatch guards against a request reaching another queue than the one with the longest prefix.
func TestMatch(t *testing.T) {
	c := &Configuration{Queues: []Queue{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}
	for _, k := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/z", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if q := c.Match(k.host, k.path); q != nil {
			got = q.Name
		}
		if got != k.want {
			t.Errorf("%s%s reaches %q, want %q", k.host, k.path, got, k.want)
		}
	}
}

// TestOutcomeAfterALostCall guards against giving up a job at once when the call to its owner ends late, as after a freeze
// of this VM: the owner has the outcome.
func TestOutcomeAfterALostCall(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mine, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The clock of the taker jumps while its first call waits.
	var skipped atomic.Int64
	tk := New(Config{
		Name: "taker", Incarnation: 5, FailureDomain: "d", Resolve: func(string) string { return ln.Addr().String() },
		Now: func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }, Log: log, Count: func(string, int64) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tk.Run(ctx, mine)
	calls := 0
	owner := messenger.New(messenger.Config{
		Name: "owner", Resolve: func(string) string { return mine.Addr().String() }, Log: log,
		Handle: func(_ string, e *wire.Envelope, reply func(*wire.Envelope)) {
			if e.GetFleetJob() == nil {
				return
			}
			o := &wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_COMPLETED}
			if calls++; calls == 1 {
				skipped.Store(int64(5 * time.Second))
				o.Kind = wire.FleetOutcome_KIND_MOVED
			} else if !e.GetFleetJob().MayRun {
				t.Error("a job that a former owner may have started is offered as one that none has")
			}
			reply(&wire.Envelope{Body: &wire.Envelope_FleetOutcome{FleetOutcome: o}})
		},
	})
	go owner.Run(ctx, ln)
	tk.apply(&wire.AgreedState{Index: 1, Grants: []*wire.Grant{{FailureDomain: "d", Owner: "owner", Incarnation: 1, Fence: 1, Cells: 1}}})
	for !tk.messenger.Connected("owner") {
		time.Sleep(time.Millisecond)
	}
	if o := tk.Submit(ctx, &allocator.Job{ID: "00000000000000ee"}); o.Kind != wire.FleetOutcome_KIND_COMPLETED {
		t.Fatalf("outcome %v, %s", o.Kind, o.Reason)
	}
}

// TestCancelIsRepeated guards against a cancellation that gets lost while the owner is not connected: its tasks would go
// on while the client's next request starts them elsewhere.
func TestCancelIsRepeated(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mine, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tk := New(Config{
		Name: "taker", Incarnation: 5, FailureDomain: "d", Resolve: func(string) string { return ln.Addr().String() },
		Now: time.Now, Log: log, Count: func(string, int64) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tk.Run(ctx, mine)
	tk.apply(&wire.AgreedState{Index: 1, Grants: []*wire.Grant{{FailureDomain: "d", Owner: "owner", Incarnation: 1, Fence: 1, Cells: 1}}})
	got := make(chan *wire.FleetCancellation, 1)
	go tk.cancel("d/0", "00000000000000dd")
	owner := messenger.New(messenger.Config{
		Name: "owner", Resolve: func(string) string { return mine.Addr().String() }, Log: log,
		Handle: func(_ string, e *wire.Envelope, reply func(*wire.Envelope)) {
			if c := e.GetFleetCancellation(); c != nil {
				got <- c
				reply(e)
			}
		},
	})
	time.Sleep(10 * retryEvery) // the first attempts find nobody
	go owner.Run(ctx, ln)
	if c := <-got; c.Id != "00000000000000dd" || c.Incarnation != 5 {
		t.Fatalf("got %v", c)
	}
}

// TestAwaitConfiguration guards against refusing a request while the voters elect a leader, and against holding it where
// none of them answers.
func TestAwaitConfiguration(t *testing.T) {
	for name, wait := range map[string]time.Duration{"confirmed": time.Hour, "never": 10 * time.Millisecond} {
		confirm := name == "confirmed"
		t.Run(name, func(t *testing.T) {
			mine, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			tk := New(Config{
				Name: "taker", Incarnation: 5, FailureDomain: "d", Seeds: []string{"voter"}, Now: time.Now, Log: log,
				Resolve: func(string) string { return ln.Addr().String() }, Count: func(string, int64) {},
				Decode: func([]byte) (*Configuration, error) { return &Configuration{Version: 3}, nil },
			})
			tk.confirmWait = wait
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			got := make(chan *Configuration, 1)
			go func() { got <- tk.AwaitConfiguration(ctx) }()
			watches := 0
			voter := messenger.New(messenger.Config{
				Name: "voter", Resolve: func(string) string { return mine.Addr().String() }, Log: log,
				Handle: func(_ string, e *wire.Envelope, reply func(*wire.Envelope)) {
					watches++
					reply(&wire.Envelope{Body: &wire.Envelope_WatchReply{WatchReply: &wire.WatchReply{
						State: &wire.AgreedState{Index: 4, Config: &wire.FleetConfig{Version: 3}}, Confirmed: confirm && watches > 2,
					}}})
				},
			})
			go voter.Run(ctx, ln)
			go tk.Run(ctx, mine)
			if c := <-got; (c != nil) != confirm {
				t.Fatalf("configuration %v", c)
			}
		})
	}
}
