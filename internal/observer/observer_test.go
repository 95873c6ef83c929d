package observer

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"clementineyard/internal/compressor"
	"clementineyard/wire"
)

// TestDamagedConfiguration guards against a damaged configuration that takes effect, against an index that passes it over
// so that it is never asked for again, and against a damaged copy of what is held already that delays the next watch.
func TestDamagedConfiguration(t *testing.T) {
	good, err := compressor.Compress([]byte("four"))
	if err != nil {
		t.Fatal(err)
	}
	state := func(compressed []byte) *wire.AgreedState {
		return &wire.AgreedState{Index: 4, Config: &wire.FleetConfig{Version: 4, Compressed: compressed}}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watches := make(chan *wire.Watch, 10)
	var applied []string
	o := New(Config{
		ApplyState: func(s *wire.AgreedState) { applied = append(applied, string(s.Config.Content)) },
		Report:     func(*wire.WorkerReport) {}, Confirmed: func() {}, Rooms: func() []*wire.CellRoom { return nil }, HandleRooms: func([]*wire.CellRoom) {},
		Now: time.Now, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Call: func(_ string, e *wire.Envelope, _ time.Time, _ func(*wire.Envelope, error)) { watches <- e.GetWatch() },
	})
	o.ctx = ctx
	v := &voter{name: "v"}
	for i, reply := range []*wire.AgreedState{state([]byte("damaged")), state(good), state([]byte("damaged"))} {
		before := time.Now()
		o.handleReply(v, before, &wire.WatchReply{State: reply}, nil)
		w := <-watches
		if held := i > 0; (len(applied) == 1) != held || (w.Index == 4) != held || (w.ConfigVersion == 4) != held {
			t.Fatalf("reply %d: applied %q, and the next watch holds index %d, version %d", i, applied, w.Index, w.ConfigVersion)
		}
		if late := time.Since(before) >= retryInterval; late != (i == 0) {
			t.Fatalf("reply %d: the next watch was sent after %v", i, time.Since(before))
		}
	}
	if applied[0] != "four" {
		t.Fatalf("applied %q", applied)
	}
}
