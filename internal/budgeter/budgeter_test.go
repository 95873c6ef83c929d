package budgeter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func newBudget() *Budget {
	return New(Config{Bytes: 100, StallTime: 20 * time.Second, WaitTime: time.Second, Listeners: []Listener{
		{Connections: 3, RequestTime: time.Minute}, {Connections: 2, RequestBytes: 50, RequestTime: 5 * time.Second},
	}})
}

// TestEviction guards against the eviction of a complete request, or of a new one before the one that is incomplete for longest.
func TestEviction(t *testing.T) {
	b := newBudget()
	complete, _ := b.Open(start, 0, nil)
	b.Grow(complete, 40)
	b.Finish(start, complete)
	slow, _ := b.Open(start.Add(time.Millisecond), 0, nil)
	b.Grow(slow, 40)
	ordinary, _ := b.Open(start.Add(time.Second), 0, nil)
	if evicted, ok := b.Grow(ordinary, 50); !ok || len(evicted) != 1 || evicted[0] != slow {
		t.Errorf("evicted %v, ok %v", evicted, ok)
	}
	if b.Finish(start, slow) {
		t.Error("an evicted request is handled")
	}
	if evicted, ok := b.Grow(ordinary, 50); ok || len(evicted) > 0 || ordinary.State() != Ended || b.Used() != 40 {
		t.Errorf("a request that does not fit: evicted %v, ok %v, %d bytes held", evicted, ok, b.Used())
	}
}

// TestLargestWaitingGivesWay guards against requests that wait and hold all bytes, and against the end of one that holds less than the
// request that needs them.
func TestLargestWaitingGivesWay(t *testing.T) {
	b := newBudget()
	open := func(bytes int64) *Reservation {
		r, _ := b.Open(start, 0, nil)
		b.Grow(r, bytes)
		b.Finish(start, r)
		return r
	}
	large, small := open(60), open(40)
	for _, r := range []*Reservation{large, small} {
		b.Wait(start, r)
	}
	ordinary := open(10)
	if large.State() != Ended || small.State() != Complete || ordinary.State() != Complete {
		t.Errorf("large %v, small %v, ordinary %v", large.State(), small.State(), ordinary.State())
	}
	if evicted, ok := b.Hold(ordinary, 51); ok || len(evicted) > 0 || b.Used() != 50 {
		t.Errorf("a request that becomes larger than the one that waits: evicted %v, ok %v, %d bytes held", evicted, ok, b.Used())
	}
}

// TestFullListener guards against a listener that exceeds its connections, or that evicts a complete request for a new
// connection, a request before an older one, or an idle connection before an incomplete request.
func TestFullListener(t *testing.T) {
	b := newBudget()
	idle, _ := b.Open(start, 0, nil)
	b.Rest(start, idle)
	complete, _ := b.Open(start, 0, nil)
	b.Finish(start, complete)
	slow, _ := b.Open(start, 0, nil)
	young, evicted := b.Open(start.Add(time.Millisecond), 0, nil)
	if evicted != slow {
		t.Error("the oldest request was not evicted")
	}
	b.Finish(start, young)
	second, evicted := b.Open(start.Add(time.Second), 0, nil)
	if evicted != idle {
		t.Error("the idle connection was not evicted")
	}
	b.Finish(start, second)
	if r, evicted := b.Open(start.Add(time.Hour), 0, nil); r != nil || evicted != nil || b.Connections(0) != 3 {
		t.Error("a connection was admitted beside three complete requests")
	}
	waitsSince := start.Add(time.Hour)
	b.Wait(waitsSince, young)
	if r, evicted := b.Open(waitsSince.Add(time.Second-1), 0, nil); r != nil || evicted != nil {
		t.Error("a request was evicted that has not waited for long")
	}
	if r, evicted := b.Open(waitsSince.Add(time.Second), 0, nil); r == nil || evicted != young || b.Connections(0) != 3 {
		t.Error("the request that has waited for long was not evicted")
	}
}

// TestExpire guards against requests that make no progress and are kept, and against the end of one that does.
func TestExpire(t *testing.T) {
	b := newBudget()
	stalled, _ := b.Open(start, 0, nil)
	b.Progress(start.Add(10*time.Second), stalled)
	idle, _ := b.Open(start, 0, nil)
	b.Rest(start, idle)
	if expired := b.Expire(start.Add(29 * time.Second)); len(expired) > 0 {
		t.Errorf("expired: %v", expired)
	}
	if expired := b.Expire(start.Add(30 * time.Second)); len(expired) != 1 || expired[0] != stalled {
		t.Errorf("expired: %v", expired)
	}
	b.Progress(start.Add(40*time.Second), idle)
	for at := 40 * time.Second; at < 99*time.Second; at += time.Second {
		b.Progress(start.Add(at), idle)
	}
	if expired := b.Expire(start.Add(100 * time.Second)); len(expired) != 1 {
		t.Error("a request that takes too long as a whole is kept")
	}
}

// TestRandomUse guards against bytes or connections that are counted twice, lost, or beyond their bounds, whatever the order of
// the calls.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := newBudget(), start
		open := map[*Reservation]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			reservations := make([]*Reservation, 0, len(open))
			for _, l := range b.listeners {
				for _, q := range []*queue{&l.receiving, &l.idle} {
					for r := q.first; r != nil; r = r.next {
						reservations = append(reservations, r)
					}
				}
			}
			action := rapid.IntRange(0, 6).Draw(t, "action")
			if action == 0 || len(reservations) == 0 {
				if r, _ := b.Open(now, rapid.IntRange(0, 1).Draw(t, "listener"), nil); r != nil {
					open[r] = true
				}
			} else {
				use(t, b, now, action, reservations[rapid.IntRange(0, len(reservations)-1).Draw(t, "which")])
			}
			var bytes int64
			connections := 0
			for r := range open {
				if r.state == Ended {
					delete(open, r)
					continue
				}
				bytes += r.bytes
				connections++
			}
			if bytes != b.used || b.used > b.cfg.Bytes || connections != b.Connections(0)+b.Connections(1) || b.Connections(0) > 3 || b.Connections(1) > 2 {
				t.Fatalf("%d bytes in %d connections, counted %d in %d and %d", bytes, connections, b.used, b.Connections(0), b.Connections(1))
			}
		}
	})
}

// use makes one of the calls for a connection that has not ended.
func use(t *rapid.T, b *Budget, now time.Time, action int, r *Reservation) {
	bytes := int64(rapid.IntRange(1, 60).Draw(t, "bytes"))
	switch action {
	case 1, 2:
		b.Progress(now, r)
		b.Grow(r, bytes)
	case 3:
		b.Shrink(r, bytes)
	case 4:
		b.Finish(now, r)
	case 5:
		b.Rest(now, r)
	default:
		b.Expire(now)
	}
}

// TestHold guards against complete requests that hold more than the budget once they are decoded, and against one that is
// refused although incomplete ones could be evicted.
func TestHold(t *testing.T) {
	b := New(Config{Bytes: 100, StallTime: time.Minute, Listeners: []Listener{{Connections: 10, RequestBytes: 50, RequestTime: time.Minute}}})
	now := time.Unix(1000, 0)
	open := func(bytes int64, complete bool) *Reservation {
		r, _ := b.Open(now, 0, nil)
		if _, ok := b.Grow(r, bytes); !ok {
			t.Fatalf("%d bytes do not fit", bytes)
		}
		if complete {
			b.Finish(now, r)
		}
		return r
	}
	receiving, first, second := open(20, false), open(10, true), open(10, true)
	if evicted, ok := b.Hold(first, 70); !ok || len(evicted) != 1 || evicted[0] != receiving || b.Used() != 90 {
		t.Fatalf("evicted %v, held %v, %d bytes used", evicted, ok, b.Used())
	}
	if _, ok := b.Hold(second, 20); ok || b.Used() != 90 {
		t.Fatalf("held %v beyond the budget, %d bytes used", ok, b.Used())
	}
	if _, ok := b.Hold(first, -1000); !ok || b.Used() != 10 {
		t.Fatalf("held %v, %d bytes used after the request holds nothing", ok, b.Used())
	}
	b.End(first)
	b.End(second)
	if b.Used() != 0 {
		t.Fatalf("%d bytes used without requests", b.Used())
	}
}
