package prover

import (
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/replier"
)

const (
	// noNewWorkAfter is the bound for a server that leaves, whether it says so or falls silent (R6). The lease of 2.5 s
	// runs from the receipt, which for an owner may be later than the acknowledgement by another entry VM.
	noNewWorkAfter = 3 * time.Second
	// departAt is when the server departs, counted from the start of the load, and loadFor how long the load goes on.
	departAt = time.Second
	loadFor  = departAt + noNewWorkAfter + 3*time.Second
	loadRate = 60
)

// TestServerLeaves guards against new work on a server that all entry VMs of its failure domain know to be leaving, and
// against the loss of what it still runs.
func TestServerLeaves(t *testing.T) {
	b := setUp(t, oneDomain, 3)
	b.depart(func(s *replier.Server) time.Time {
		s.Leaving.Store(true)
		// Announcements go to the entry VMs in turn.
		b.eventually("all entry VMs know that the server leaves", func() bool { return s.Acknowledged().Leaving >= len(b.VMs) })
		return time.Now()
	})
}

// TestServerFallsSilent guards against new work on a server whose lease has ended.
func TestServerFallsSilent(t *testing.T) {
	b := setUp(t, oneDomain, 3)
	b.depart(func(s *replier.Server) time.Time {
		s.Silent.Store(true)
		time.Sleep(departAt / 2) // an announcement may be under way
		return s.Acknowledged().At.Add(noNewWorkAfter)
	})
}

// depart offers load while the first server departs. No call that is made after the time that leave returns may start
// on that server, by its own count.
func (b *bed) depart(leave func(*replier.Server) time.Time) {
	b.t.Helper()
	server, begin := b.Servers[0], time.Now()
	done := offer(b.Callers(""), calls(int(loadRate*loadFor.Seconds()), loadFor, 30*time.Millisecond))
	time.Sleep(departAt)
	b.eventually("the server gets work", func() bool { return len(b.startsOn(server)) > 0 })
	bound := leave(server)
	rs := <-done
	b.allAnswered(rs)
	b.honest(rs)
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
		b.t.Error("no call was made after the server had left, so that the test shows nothing")
	}
}

// startsOn returns the keys of the calls that a server has started since the set-up.
func (b *bed) startsOn(s *replier.Server) map[string]bool {
	out := map[string]bool{}
	for _, st := range b.Journal.Starts()[b.first:] {
		if st.Server == s.Name() {
			out[st.Key] = true
		}
	}
	return out
}
