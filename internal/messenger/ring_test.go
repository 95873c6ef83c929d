package messenger

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"clementineyard/wire"
)

// A fixed seed gives the same verdict on each run; another one is passed as -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRing guards against messages that are lost, doubled or reordered in a ring, and against one that grows beyond its
// limit or leaves its reader asleep.
func TestRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		r := newRing(limit)
		var put, taken, waiting uint64
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			for range rapid.IntRange(0, 2*limit).Draw(t, "puts") {
				if ok := r.put(&wire.Envelope{Id: put}); ok != (waiting < limit) {
					t.Fatalf("put %v with %d waiting", ok, waiting)
				} else if ok {
					put, waiting = put+1, waiting+1
				}
			}
			if rapid.Bool().Draw(t, "rest") {
				continue
			}
			select {
			case <-r.wake:
			default:
				if waiting > 0 {
					t.Fatalf("%d messages wait without a token", waiting)
				}
			}
			for _, e := range r.take(nil) {
				if e.Id != taken {
					t.Fatalf("took %d, want %d", e.Id, taken)
				}
				taken, waiting = taken+1, waiting-1
			}
		}
		if waiting != put-taken || r.bytes < 0 || waiting == 0 && r.bytes != 0 {
			t.Fatalf("%d put, %d taken, %d waiting, %d bytes", put, taken, waiting, r.bytes)
		}
	})
}

// TestRingOfLargeMessages guards against a batch so large that it delays all others, and against a ring whose memory the
// number of messages does not bound.
func TestRingOfLargeMessages(t *testing.T) {
	r := newRing(ringSize)
	large := func() *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_Answer{Answer: &wire.Answer{Key: string(make([]byte, batchBytes))}}}
	}
	n := 0
	for r.put(large()) {
		n++
	}
	if n != ringBytes/batchBytes-1 {
		t.Fatalf("%d messages of %d bytes were taken in", n, batchBytes)
	}
	for range n {
		<-r.wake
		if got := len(r.take(nil)); got != 1 {
			t.Fatalf("a batch of %d large messages", got)
		}
	}
	if r.bytes != 0 {
		t.Fatalf("%d bytes are left", r.bytes)
	}
}

// TestRingThatNeverEmpties guards against a ring that keeps the room of every message that it ever held while its writer
// stays behind.
func TestRingThatNeverEmpties(t *testing.T) {
	r := newRing(ringSize)
	m := &wire.Envelope{Body: &wire.Envelope_Answer{Answer: &wire.Answer{Key: string(make([]byte, batchBytes))}}}
	r.put(m)
	for range 10 * ringKept {
		r.put(m)
		if got := len(r.take(nil)); got != 1 {
			t.Fatalf("a batch of %d large messages", got)
		}
	}
	if got := len(r.messages) - r.first; got != 1 || cap(r.messages) > ringKept {
		t.Fatalf("%d messages wait, with room for %d", got, cap(r.messages))
	}
}
