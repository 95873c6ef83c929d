package messenger

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"clementineyard/wire"
)

// TestMain fixes the seed, so that each run gives the same result; the flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestRing guards against a queue that loses, duplicates or reorders messages, that grows beyond its limit, or that holds
// messages without a token for its consumer.
func TestRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		q := newSendQueue(limit)
		var nextPut, taken, waiting uint64
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			for range rapid.IntRange(0, 2*limit).Draw(t, "puts") {
				if ok := q.put(&wire.Envelope{Id: nextPut}); ok != (waiting < limit) {
					t.Fatalf("put %v with %d waiting", ok, waiting)
				} else if ok {
					nextPut, waiting = nextPut+1, waiting+1
				}
			}
			if rapid.Bool().Draw(t, "rest") {
				continue
			}
			select {
			case <-q.ready:
			default:
				if waiting > 0 {
					t.Fatalf("%d messages wait without a token", waiting)
				}
			}
			for _, e := range q.take(nil) {
				if e.Id != taken {
					t.Fatalf("took %d, want %d", e.Id, taken)
				}
				taken, waiting = taken+1, waiting-1
			}
		}
		if waiting != nextPut-taken || q.bytes < 0 || waiting == 0 && q.bytes != 0 {
			t.Fatalf("%d put, %d taken, %d waiting, %d bytes", nextPut, taken, waiting, q.bytes)
		}
	})
}

// TestRingOfLargeMessages guards against a batch so large that it delays all others, and against a queue of large
// messages whose memory is not bounded.
func TestRingOfLargeMessages(t *testing.T) {
	q := newSendQueue(requestQueueSize)
	large := func() *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_Answer{Answer: &wire.Answer{Key: string(make([]byte, targetBatchBytes))}}}
	}
	n := 0
	for q.put(large()) {
		n++
	}
	if n != maxQueueBytes/targetBatchBytes-1 {
		t.Fatalf("the queue accepted %d messages of %d bytes", n, targetBatchBytes)
	}
	for range n {
		<-q.ready
		if got := len(q.take(nil)); got != 1 {
			t.Fatalf("a batch of %d large messages", got)
		}
	}
	if q.bytes != 0 {
		t.Fatalf("%d bytes are left", q.bytes)
	}
}

// TestRingThatNeverEmpties guards against a queue that never empties, because its consumer lags behind, and grows with
// every message that it has ever held.
func TestRingThatNeverEmpties(t *testing.T) {
	q := newSendQueue(requestQueueSize)
	m := &wire.Envelope{Body: &wire.Envelope_Answer{Answer: &wire.Answer{Key: string(make([]byte, targetBatchBytes))}}}
	q.put(m)
	for range 10 * retainedQueueCapacity {
		q.put(m)
		if got := len(q.take(nil)); got != 1 {
			t.Fatalf("a batch of %d large messages", got)
		}
	}
	if got := len(q.messages) - q.first; got != 1 || cap(q.messages) > retainedQueueCapacity {
		t.Fatalf("%d messages wait, with a capacity of %d", got, cap(q.messages))
	}
}
