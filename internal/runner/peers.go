package runner

import (
	"encoding/json"
	"time"

	"clementineyard/internal/detector"
	"clementineyard/internal/messenger"
	"clementineyard/internal/scheduler"
	"clementineyard/internal/sender"
	"clementineyard/wire"
)

// handlePeer handles a message of another entry VM. It runs on the goroutine that reads the connection and must not
// block.
func (r *Runner) handlePeer(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_Submission:
		s := b.Submission
		deadline := time.Now().Add(time.Duration(s.TimeoutMillis) * time.Millisecond)
		r.router.Submit(s, deadline, func(a *wire.Answer) {
			reply(&wire.Envelope{Body: &wire.Envelope_Answer{Answer: a}})
		})
	case *wire.Envelope_Announcement:
		r.announceLocally(b.Announcement)
	case *wire.Envelope_Cancellation:
		r.cancelLocally(b.Cancellation, func(c *wire.CancellationResult) {
			reply(&wire.Envelope{Body: &wire.Envelope_CancellationResult{CancellationResult: c}})
		})
	case *wire.Envelope_ExplanationRequest:
		r.explainLocally(b.ExplanationRequest.GetSubmission(), func(b json.RawMessage) {
			reply(&wire.Envelope{Body: &wire.Envelope_Explanation{Explanation: &wire.Explanation{Json: b}}})
		})
	case *wire.Envelope_Lookup, *wire.Envelope_RecordBatch, *wire.Envelope_RecordSnapshotRequest:
		r.handleRecords(from, e, reply)
	default:
		r.configurer.Handle(from, e, reply)
	}
}

// announce handles the announcement of a backend server or worker and sends it to the other entry VMs of the failure
// domain.
func (r *Runner) announce(a *wire.Announcement) {
	r.announceLocally(a)
	for _, m := range r.entryVMs[r.settings.FailureDomain] {
		if m != r.settings.Name {
			r.messenger.Send(m, messenger.RelayStream, &wire.Envelope{Body: &wire.Envelope_Announcement{Announcement: a}})
		}
	}
}

func (r *Runner) announceLocally(a *wire.Announcement) {
	r.dispatcher.Announce(scheduler.Announcement{
		Name: a.Name, Incarnation: a.Incarnation, Worker: a.Worker, Address: a.Address, Services: a.Services,
		Slots: int(a.Slots), Connections: connections(a.Connections), Capacity: resources(a.Capacity), Rack: a.Rack,
		Running: int(a.Running), Usage: resources(a.Usage), Leaving: a.Leaving,
		LeaseUntil: time.Now().Add(r.settings.Timing.ServerLease.Duration),
	})
}

// connections returns how many connections may be opened to a server that announces the given number. Workers announce
// none.
func connections(announced int64) int {
	if announced <= 0 {
		return sender.MaxConnections
	}
	return int(min(announced, sender.MaxConnections))
}

func resources(r *wire.Resources) scheduler.Resources {
	return scheduler.Resources{Millicores: r.GetMillicores(), Memory: r.GetMemory(), Accelerators: r.GetAccelerators()}
}

// handleDatagram handles a datagram of another entry VM. It runs on the pinger's goroutine.
func (r *Runner) handleDatagram(d *wire.Datagram) {
	now := time.Now()
	switch b := d.Body.(type) {
	case *wire.Datagram_Ping:
		r.detectorMu.Lock()
		out := r.detector.Step(now, b.Ping)
		r.detectorMu.Unlock()
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

// fillPing sets the fields of a ping about this VM. The caller holds detectorMu.
func (r *Runner) fillPing(p *wire.Ping) {
	own := r.ownership()
	p.FailureDomain, p.Owner, p.Epoch = r.settings.FailureDomain, own.Owner, own.Epoch
	r.addConfigurationToPing(p)
}
