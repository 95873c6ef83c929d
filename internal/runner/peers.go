package runner

import (
	"time"

	"clementineyard/internal/detector"
	"clementineyard/internal/messenger"
	"clementineyard/internal/scheduler"
	"clementineyard/internal/sender"
	"clementineyard/wire"
)

// handlePeer takes a message from another entry VM. It runs on the reader's goroutine and must not block.
func (r *Runner) handlePeer(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_Submission:
		s := b.Submission
		deadline := time.Now().Add(time.Duration(s.TimeoutMillis) * time.Millisecond)
		r.router.Submit(s, deadline, func(a *wire.Answer) {
			reply(&wire.Envelope{Body: &wire.Envelope_Answer{Answer: a}})
		})
	case *wire.Envelope_Announcement:
		r.announceHere(b.Announcement)
	case *wire.Envelope_Cancellation:
		r.cancelHere(b.Cancellation, func(c *wire.CancellationResult) {
			reply(&wire.Envelope{Body: &wire.Envelope_CancellationResult{CancellationResult: c}})
		})
	case *wire.Envelope_Lookup, *wire.Envelope_RecordBatch, *wire.Envelope_RecordSnapshotRequest:
		r.handleRecords(from, e, reply)
	default:
		r.configurer.Handle(from, e, reply)
	}
}

// announce takes an announcement from a server and passes it to the failure domain's other entry VMs.
func (r *Runner) announce(a *wire.Announcement) {
	r.announceHere(a)
	for _, m := range r.members[r.set.FailureDomain] {
		if m != r.set.Name {
			r.messenger.Send(m, messenger.Relay, &wire.Envelope{Body: &wire.Envelope_Announcement{Announcement: a}})
		}
	}
}

func (r *Runner) announceHere(a *wire.Announcement) {
	r.dispatcher.Announce(scheduler.Announcement{
		Name: a.Name, Incarnation: a.Incarnation, Worker: a.Worker, Address: a.Address, Services: a.Services,
		Slots: int(a.Slots), Connections: connections(a.Connections), Capacity: resources(a.Capacity), Rack: a.Rack,
		Running: int(a.Running), Usage: resources(a.Usage), Leaving: a.Leaving,
		LeaseUntil: time.Now().Add(r.set.Timing.ServerLease.Duration),
	})
}

// connections is how many connections a server takes. Workers announce none.
func connections(announced int64) int {
	if announced <= 0 {
		return sender.MaxConnections
	}
	return int(min(announced, sender.MaxConnections))
}

func resources(r *wire.Resources) scheduler.Resources {
	return scheduler.Resources{Millicores: r.GetMillicores(), Memory: r.GetMemory(), Accelerators: r.GetAccelerators()}
}

// handleDatagram runs on the pinger's thread.
func (r *Runner) handleDatagram(d *wire.Datagram) {
	now := time.Now()
	switch b := d.Body.(type) {
	case *wire.Datagram_Ping:
		r.state.Lock()
		out := r.detector.Step(now, b.Ping)
		r.state.Unlock()
		r.sendPings(out)
	case *wire.Datagram_Elector:
		r.handleElector(b.Elector)
	}
}

func (r *Runner) sendPings(out []detector.Message) {
	for _, m := range out {
		r.pinger.Send(m.To, &wire.Datagram{Body: &wire.Datagram_Ping{Ping: m.Ping}})
	}
}

// describe fills in what this VM says of itself. It runs under the state lock.
func (r *Runner) describe(p *wire.Ping) {
	own := r.ownership()
	p.FailureDomain, p.Owner, p.Epoch = r.set.FailureDomain, own.Owner, own.Epoch
	r.describeConfiguration(p)
}
