package modeler

import (
	"maps"
	"slices"
	"time"

	"clementineyard/internal/parser"
	"clementineyard/wire"
)

// scheduleEvent schedules a disruption and its end. Bursts are part of the demand.
func (m *Model) scheduleEvent(e *parser.LoadEvent) {
	from := m.began.Add(e.At.Duration)
	during := func(begin, end func()) {
		m.at(from, begin)
		m.at(from.Add(e.For.Duration), end)
	}
	workers := m.sample(e.Share)
	each := func(change func(c *cell, w *worker)) func() {
		return func() {
			for _, w := range workers {
				change(w.cell, w.worker)
			}
		}
	}
	switch e.Kind {
	case parser.LoadLostAnswers:
		during(each(func(_ *cell, w *worker) { w.lostRate = e.Rate }), each(func(_ *cell, w *worker) { w.lostRate = 0 }))
	case parser.LoadLateOrders:
		during(func() { m.lateRate = e.Rate }, func() { m.lateRate = 0 })
	case parser.LoadSlow:
		during(each(func(_ *cell, w *worker) { w.slowdown = e.Factor }), each(func(_ *cell, w *worker) { w.slowdown = 1 }))
	case parser.LoadGrey:
		during(each(func(_ *cell, w *worker) { w.failRate = e.Rate }), each(func(_ *cell, w *worker) { w.failRate = 0 }))
	case parser.LoadDark:
		during(each(func(c *cell, w *worker) { w.dark = true }), each(func(c *cell, w *worker) {
			w.dark, w.polls = false, nil
			c.advance(w)
		}))
	case parser.LoadLeaving:
		m.at(from, each(func(c *cell, w *worker) {
			r := w.report
			w.report = &wire.WorkerReport{
				Id: r.Id, Born: r.Born, Sequence: r.Sequence + 1, Service: r.Service, Address: r.Address, FailureDomain: r.FailureDomain,
				Millicores: r.Millicores, MemoryMb: r.MemoryMb, Draining: true,
			}
			if c.owner != nil {
				c.perform(c.owner, c.owner.Report(m.now, w.report))
			}
		}))
		m.at(from.Add(drainTime), each(func(_ *cell, w *worker) { w.dark = true }))
	case parser.LoadOwnersLost:
		m.at(from, func() {
			for i, name := range m.names {
				if float64(i) < e.Share*float64(len(m.names)) {
					c := m.cells[name]
					c.lose()
					m.after(successionTime, func() { c.grant(func() time.Duration { return 0 }) })
				}
			}
		})
	case parser.LoadPowerLost:
		m.at(from, m.losePower)
		m.at(from.Add(e.For.Duration+electionTime), func() {
			for _, name := range m.names {
				m.cells[name].grant(func() time.Duration { return time.Duration(m.rng.Float64() * float64(reportInterval)) })
			}
		})
	}
}

// losePower takes all owners away, and the requests that entry VMs hold.
func (m *Model) losePower() {
	for _, name := range m.names {
		c := m.cells[name]
		for _, id := range slices.Sorted(maps.Keys(c.waiting)) {
			s := c.waiting[id]
			delete(c.waiting, id)
			s.end(wire.FleetOutcome_KIND_UNSPECIFIED)
		}
		c.lose()
	}
}

// located is a worker with its cell.
type located struct {
	*worker
	cell *cell
}

// sample returns a share of all workers, by lot.
func (m *Model) sample(share float64) []located {
	var all []located
	for _, name := range m.names {
		for _, w := range m.cells[name].workers {
			all = append(all, located{w, m.cells[name]})
		}
	}
	m.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:int(share*float64(len(all)))]
}
