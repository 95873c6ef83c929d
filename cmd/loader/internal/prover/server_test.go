package prover

import (
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/replier"
)

const (
	// noNewWorkAfter is the time after which a server that leaves or falls silent gets no new work (R6). Its lease of
	// 2.5 s is counted from the receipt of its last announcement, which at an owner may be later than at the entry VM that
	// acknowledged it.
	noNewWorkAfter = 3 * time.Second
	// departAt is when the server leaves or falls silent, counted from the start of the load. loadFor is the duration of
	// the load, and loadRate its calls per second.
	departAt = time.Second
	loadFor  = departAt + noNewWorkAfter + 3*time.Second
	loadRate = 60
)

// TestServerLeaves guards against new work on a server after all entry VMs of its failure domain have acknowledged that
// it leaves, and against the loss of tasks that it still runs.
func TestServerLeaves(t *testing.T) {
	b := newTestbed(t, oneDomain, 3)
	b.checkDeparture(func(s *replier.Server) time.Time {
		s.Leaving.Store(true)
		// Announcements go to the entry VMs in turn, so that as many as there are entry VMs reach all of them.
		b.waitUntil("all entry VMs know that the server leaves", func() bool { return s.Acknowledged().Leaving >= len(b.VMs) })
		return time.Now()
	})
}

// TestServerFallsSilent guards against new work on a server whose lease has ended.
func TestServerFallsSilent(t *testing.T) {
	b := newTestbed(t, oneDomain, 3)
	b.checkDeparture(func(s *replier.Server) time.Time {
		s.Silent.Store(true)
		time.Sleep(departAt / 2) // an announcement may be in flight
		return s.Acknowledged().At.Add(noNewWorkAfter)
	})
}

// checkDeparture sends calls while the first server leaves or falls silent. No call that is made after the time that
// leave returns may start on that server, by its own count.
func (b *testbed) checkDeparture(leave func(*replier.Server) time.Time) {
	b.t.Helper()
	server, begin := b.Servers[0], time.Now()
	done := runInBackground(b.Client(""), evenCalls(int(loadRate*loadFor.Seconds()), loadFor, 30*time.Millisecond))
	time.Sleep(departAt)
	b.waitUntil("the server gets work", func() bool { return len(b.startsOn(server)) > 0 })
	bound := leave(server)
	rs := <-done
	b.checkAllAnswered(rs)
	b.checkOutcomes(rs)
	started, late := b.startsOn(server), 0
	for i := range rs {
		if begin.Add(rs[i].At).Before(bound) {
			continue
		}
		late++
		if started[rs[i].ID] {
			b.t.Errorf("call %d (%s), made %s after the bound, started on %s", i, rs[i].ID, begin.Add(rs[i].At).Sub(bound), server.Name())
		}
	}
	if late == 0 {
		b.t.Error("no call was made after the server had left, so the test checks nothing")
	}
}

// startsOn returns the keys of the calls that a server has started since newTestbed.
func (b *testbed) startsOn(s *replier.Server) map[string]bool {
	out := map[string]bool{}
	for _, st := range b.Journal.Starts()[b.setUpStarts:] {
		if st.Server == s.Name() {
			out[st.Key] = true
		}
	}
	return out
}
