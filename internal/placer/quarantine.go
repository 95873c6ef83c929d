package placer

import (
	"math/bits"
	"time"
)

// record takes a result into account and moves the server into or out of quarantine.
func (p *Placer) record(now time.Time, sv *Server, probe, failed bool) {
	switch sv.state {
	case healthy:
		sv.results <<= 1
		if failed {
			sv.results |= 1
		}
		if failed && bits.OnesCount8(sv.results) >= failedToExclude && p.mayQuarantine(sv) {
			p.quarantine(now, sv)
		}
	case probing:
		if !probe {
			return // started before the quarantine
		}
		if failed {
			sv.pause = min(2*sv.pause, longQuarantine)
			p.quarantine(now, sv)
			return
		}
		if sv.successes++; sv.successes >= probesToReturn {
			p.restore(sv)
		}
	case quarantined:
	}
}

func (p *Placer) mayQuarantine(sv *Server) bool {
	for _, m := range sv.members {
		if m.pool.quarantined+1 > m.pool.quarantineCap() {
			return false
		}
	}
	return sv.live
}

func (p *Placer) quarantine(now time.Time, sv *Server) {
	p.setState(sv, quarantined)
	sv.successes = 0
	sv.until = now.Add(sv.pause)
	p.wakeAt(sv, sv.until)
}

func (p *Placer) probe(sv *Server) {
	p.setState(sv, probing)
	p.rescore(sv)
}

func (p *Placer) restore(sv *Server) {
	p.setState(sv, healthy)
	sv.results, sv.successes, sv.pause = 0, 0, firstQuarantine
	p.rescore(sv)
}

func (p *Placer) setState(sv *Server, state health) {
	for _, m := range sv.members {
		m.pool.count(sv, -1)
	}
	sv.state = state
	for _, m := range sv.members {
		m.pool.count(sv, 1)
		switch {
		case state == quarantined && m.index >= 0:
			m.pool.heap.Remove(m.index)
		case state != quarantined && m.index < 0:
			m.pool.heap.Push(m)
		}
	}
}

// enforceCap restores servers when a pool has shrunk and more than its cap are quarantined.
func (p *Placer) enforceCap(pl *pool) {
	if pl.quarantined <= pl.quarantineCap() {
		return
	}
	// Map order is random between runs; the name decides, so that equal inputs give equal decisions.
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
