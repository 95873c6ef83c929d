package keeper

import (
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

// queueLimit bounds the records that wait for one member. Beyond it the member gets a whole snapshot instead.
const queueLimit = 16384

// item is one record on its way to the members.
type item struct {
	rec      *wire.Record
	key      recorder.Key
	commit   bool
	acks     int
	deadline time.Time
	done     func(ok bool)
}

// end calls done once.
func (it *item) end(ok bool) {
	if it.done != nil {
		it.done(ok)
		it.done = nil
	}
}

// member is the owner's view of another member. At most one batch is in flight; the next one fills meanwhile.
type member struct {
	name        string
	incarnation uint64
	queue       []*item
	inFlight    []*item
	busy        bool
	sequence    uint64
	retryAt     time.Time
	// probed is true once the member has acknowledged a batch and told whether it is complete.
	probed bool
	// behind members get the whole table; cursor is the position up to which they have it.
	behind             bool
	cursor, sentCursor uint64
	// sentLast is true while the batch in flight holds the last chunk.
	sentLast bool
}

// replicate queues a record for all members.
func (k *Keeper) replicate(now time.Time, rec recorder.Record, commit bool, done func(ok bool)) {
	it := &item{rec: recorder.ToWire(rec), key: rec.Key, commit: commit, deadline: now.Add(commitLimit), done: done, acks: 1}
	if it.acks >= k.cfg.Elector.Majority() {
		k.majority(it)
	} else {
		k.waits = append(k.waits, it)
	}
	for _, m := range k.members {
		m.queue = append(m.queue, it)
		if len(m.queue) > queueLimit {
			m.queue = nil
			m.lag()
		}
	}
}

// lag starts a snapshot from the beginning.
func (m *member) lag() { m.behind, m.cursor, m.sentCursor, m.sentLast = true, 0, 0, false }

func (k *Keeper) majority(it *item) {
	if it.commit && it.done != nil && !k.cfg.Recorder.Commit(it.key) {
		// Ended in the meantime, for example by a cancellation.
		it.end(false)
		return
	}
	it.end(true)
}

func (k *Keeper) expireWaits(now time.Time) {
	n := 0
	for n < len(k.waits) && (k.waits[n].done == nil || !now.Before(k.waits[n].deadline)) {
		k.waits[n].end(false)
		n++
	}
	k.waits = k.waits[n:]
}

// flush sends a batch to each member that has something to get and none in flight.
func (k *Keeper) flush() {
	if k.phase != active {
		return
	}
	now := k.cfg.Now()
	peers := k.cfg.Elector.Peers()
	for _, m := range k.members {
		// The incarnation is known once the member has acknowledged a renewal.
		p, ok := peers[m.name]
		if !ok || m.busy || now.Before(m.retryAt) {
			continue
		}
		if p.Incarnation != m.incarnation {
			m.incarnation, m.probed = p.Incarnation, false
			m.lag()
			m.behind = false
		}
		if len(m.queue) > 0 || m.behind || !m.probed {
			k.sendBatch(now, m)
		}
	}
}

func (k *Keeper) sendBatch(now time.Time, m *member) {
	m.busy = true
	m.sequence++
	b := &wire.RecordBatch{
		Group: k.cfg.Group, Epoch: k.epoch, From: k.cfg.Name, Sequence: m.sequence, Incarnation: m.incarnation,
		FloorMillis: k.floorMillis(),
	}
	k.fillFromQueue(m, b)
	if m.behind {
		recs, position, more := k.cfg.Recorder.Chunk(m.cursor, chunkRecords, chunkBytes)
		for _, rec := range recs {
			b.Records = append(b.Records, recorder.ToWire(rec))
		}
		m.sentCursor, m.sentLast, b.Completes = position, !more, !more
	}
	epoch, seq := k.epoch, m.sequence
	e := &wire.Envelope{Body: &wire.Envelope_RecordBatch{RecordBatch: b}}
	k.cfg.Call(m.name, e, now.Add(callLimit), func(reply *wire.Envelope, err error) {
		k.events <- func() { k.acknowledged(epoch, m, seq, reply.GetRecordAck(), err) }
	})
}

func (k *Keeper) fillFromQueue(m *member, b *wire.RecordBatch) {
	size, n := 0, 0
	m.inFlight = m.inFlight[:0]
	for n < len(m.queue) && n < chunkRecords && size < chunkBytes {
		it := m.queue[n]
		n++
		if it.commit && it.done == nil && k.cfg.Recorder.Get(it.key) == nil {
			continue // refused in the meantime
		}
		m.inFlight = append(m.inFlight, it)
		b.Records = append(b.Records, it.rec)
		for _, t := range it.rec.Answer.GetTasks() {
			size += len(t.Payload)
		}
	}
	m.queue = m.queue[n:]
}

// acknowledged ends a batch. The ownership is checked first: an acknowledgement that arrives after the lease counts
// for nothing.
func (k *Keeper) acknowledged(epoch uint64, m *member, seq uint64, ack *wire.RecordAck, err error) {
	now := k.cfg.Now()
	k.update(now)
	if k.phase != active || epoch != k.epoch || !m.busy || seq != m.sequence {
		return
	}
	m.busy = false
	if err != nil || ack == nil || !ack.Accepted || ack.Sequence != seq {
		// A refusal with a newer epoch is left to the elector: one member alone is no reason to step down.
		m.queue = append(append([]*item(nil), m.inFlight...), m.queue...)
		m.inFlight = m.inFlight[:0]
		m.retryAt = now.Add(retryPause)
		return
	}
	for i, it := range m.inFlight {
		it.acks++
		if it.acks == k.cfg.Elector.Majority() {
			k.majority(it)
		}
		m.inFlight[i] = nil
	}
	m.inFlight = m.inFlight[:0]
	m.probed = true
	switch {
	case m.behind && m.sentLast && ack.Complete:
		m.behind = false
	case m.behind:
		m.cursor = m.sentCursor
	case !ack.Complete:
		m.lag()
	}
}
