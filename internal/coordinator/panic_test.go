package coordinator

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"clementineyard/internal/notifier"
	"clementineyard/wire"
)

// newCoordinator returns the only voter of a fleet, which keeps its log in folder.
func newCoordinator(folder string) *Coordinator {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return New(Config{
		Name: "a", Incarnation: 1, Founders: []string{"a"}, MayBootstrap: true, DataFolder: folder, ElectionTimeout: 50 * time.Millisecond,
		Notifier: notifier.New(notifier.Config{Now: time.Now, Log: log}), Now: time.Now, Log: log,
		Send: func(string, *wire.Envelope) {},
	})
}

// propose proposes a configuration and returns its result, or fails the test when there is none a second after its
// deadline.
func propose(t *testing.T, c *Coordinator, version uint64, within time.Duration) *wire.AgreedResult {
	t.Helper()
	return proposeContent(t, c, version, []byte("{}"), within)
}

func proposeContent(t *testing.T, c *Coordinator, version uint64, content []byte, within time.Duration) *wire.AgreedResult {
	t.Helper()
	results := make(chan *wire.AgreedResult, 1)
	cmd := &wire.AgreedCommand{Config: &wire.FleetConfig{Version: version, Content: content}}
	c.Propose(cmd, time.Now().Add(within), func(r *wire.AgreedResult) { results <- r })
	select {
	case r := <-results:
		return r
	case <-time.After(within + time.Second):
		t.Fatalf("version %d got no result", version)
		return nil
	}
}

// TestPanicSuspendsVoter guards against an unexpected error that takes down the whole process, and against a voter that
// goes on with a state that such an error has left half changed.
func TestPanicSuspendsVoter(t *testing.T) {
	c := newCoordinator(t.TempDir())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	if r := propose(t, c, 1, 5*time.Second); r.Verdict != wire.AgreedResult_VERDICT_COMMITTED {
		t.Fatalf("version 1: %v", r.Verdict)
	}
	c.enqueue(func() {
		c.applied += 1000
		panic("unexpected")
	})
	r := propose(t, c, 2, 5*time.Second)
	if r.Verdict != wire.AgreedResult_VERDICT_COMMITTED || r.State.GetConfig().GetVersion() != 2 {
		t.Fatalf("version 2, after an unexpected error: %v, version %d is in force", r.Verdict, r.State.GetConfig().GetVersion())
	}
}

// TestProposalWithoutDisk guards against an operator's call that never gets an answer while the data folder cannot be
// opened.
func TestProposalWithoutDisk(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	c := newCoordinator(filepath.Join(file, "data"))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	if r := propose(t, c, 1, 100*time.Millisecond); r.Verdict != wire.AgreedResult_VERDICT_NO_LEADER {
		t.Fatalf("verdict %v", r.Verdict)
	}
}
