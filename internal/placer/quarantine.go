package placer

import (
	"math/bits"
	"time"
)

// recordResult records the result of a task and moves its server into or out of quarantine.
func (p *Placer) recordResult(now time.Time, sv *Server, probe, failed bool) {
	switch sv.state {
	case healthy:
		sv.recentFailures <<= 1
		if failed {
			sv.recentFailures |= 1
		}
		if failed && bits.OnesCount8(sv.recentFailures) >= failuresToQuarantine && p.mayQuarantine(sv) {
			p.quarantine(now, sv)
		}
	case probing:
		if !probe {
			return // the task started before the quarantine
		}
		if failed {
			sv.quarantineFor = min(2*sv.quarantineFor, maxQuarantine)
			p.quarantine(now, sv)
			return
		}
		if sv.probeSuccesses++; sv.probeSuccesses >= probesToRestore {
			p.restore(sv)
		}
	case quarantined:
	}
}

// mayQuarantine reports whether the caps of the server's pools allow one more quarantined server.
func (p *Placer) mayQuarantine(sv *Server) bool {
	for _, m := range sv.memberships {
		if m.pool.quarantined+1 > m.pool.quarantineCap() {
			return false
		}
	}
	return sv.live
}

func (p *Placer) quarantine(now time.Time, sv *Server) {
	p.setState(sv, quarantined)
	sv.probeSuccesses = 0
	sv.quarantinedUntil = now.Add(sv.quarantineFor)
	p.armTimer(sv, sv.quarantinedUntil)
}

// startProbing puts a quarantined server on probation: it gets one task at a time until enough of them succeed.
func (p *Placer) startProbing(sv *Server) {
	p.setState(sv, probing)
	p.rescore(sv)
}

// restore makes a server healthy and resets its history.
func (p *Placer) restore(sv *Server) {
	p.setState(sv, healthy)
	sv.recentFailures, sv.probeSuccesses, sv.quarantineFor = 0, 0, initialQuarantine
	p.rescore(sv)
}

// setState changes the server's state and updates the pools' sums and heaps.
func (p *Placer) setState(sv *Server, state health) {
	for _, m := range sv.memberships {
		m.pool.countServer(sv, -1)
	}
	sv.state = state
	for _, m := range sv.memberships {
		m.pool.countServer(sv, 1)
		switch {
		case state == quarantined && m.heapIndex >= 0:
			m.pool.heap.Remove(m.heapIndex)
		case state != quarantined && m.heapIndex < 0:
			m.pool.heap.Push(m)
		}
	}
}

// enforceQuarantineCap restores servers when a pool has shrunk and more of its servers are quarantined than its cap
// allows.
func (p *Placer) enforceQuarantineCap(pl *pool) {
	if pl.quarantined <= pl.quarantineCap() {
		return
	}
	// Map iteration order is random; choosing by name makes runs reproducible.
	for pl.quarantined > pl.quarantineCap() {
		var first *Server
		for sv := range pl.live {
			if sv.state != healthy && (first == nil || sv.Name < first.Name) {
				first = sv
			}
		}
		p.restore(first)
	}
}
