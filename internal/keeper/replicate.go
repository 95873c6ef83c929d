package keeper

import (
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

// maxQueuedRecords bounds the records queued for one member. When it is exceeded the member gets a full snapshot
// instead.
const maxQueuedRecords = 16384

// replication is one record that is being sent to the members.
type replication struct {
	rec *wire.Record
	key recorder.Key
	// commit is true for a new record, whose tasks may start after a majority has acknowledged it.
	commit   bool
	acks     int
	deadline time.Time
	done     func(ok bool)
}

// complete calls done unless it was called before.
func (r *replication) complete(ok bool) {
	if r.done != nil {
		r.done(ok)
		r.done = nil
	}
}

// member is the owner's view of another member. At most one batch is in flight; new records are queued meanwhile.
type member struct {
	name string
	// incarnation is that of the process to which batches are sent. Batches to an earlier process are refused.
	incarnation uint64
	queue       []*replication
	inFlight    []*replication
	busy        bool
	sequence    uint64
	retryAt     time.Time
	// probed is set once the member has acknowledged a batch, which tells whether it holds all records.
	probed bool
	// needsSnapshot is true while the member is sent the whole table. ackedPosition is the position up to which it has
	// acknowledged it, and sentPosition the position at the end of the batch in flight.
	needsSnapshot               bool
	ackedPosition, sentPosition uint64
	// sentLastChunk is true while the batch in flight holds the last chunk.
	sentLastChunk bool
}

// replicate queues a record for all members.
func (k *Keeper) replicate(now time.Time, rec recorder.Record, commit bool, done func(ok bool)) {
	r := &replication{rec: recorder.ToWire(rec), key: rec.Key, commit: commit, deadline: now.Add(commitTimeout), done: done, acks: 1}
	if r.acks >= k.cfg.Elector.Majority() {
		k.onMajority(r)
	} else {
		k.replications = append(k.replications, r)
	}
	for _, m := range k.members {
		m.queue = append(m.queue, r)
		if len(m.queue) > maxQueuedRecords {
			m.queue = nil
			m.restartSnapshot()
		}
	}
}

// restartSnapshot makes the member get the whole table from its first record.
func (m *member) restartSnapshot() {
	m.needsSnapshot, m.ackedPosition, m.sentPosition, m.sentLastChunk = true, 0, 0, false
}

// onMajority completes a replication that a majority has acknowledged.
func (k *Keeper) onMajority(r *replication) {
	if r.commit && r.done != nil && !k.cfg.Recorder.Commit(r.key) {
		// The submission has ended in the meantime, for example by a cancellation.
		r.complete(false)
		return
	}
	r.complete(true)
}

// expireReplications fails the replications whose deadline has passed and drops the completed ones before them.
func (k *Keeper) expireReplications(now time.Time) {
	n := 0
	for n < len(k.replications) && (k.replications[n].done == nil || !now.Before(k.replications[n].deadline)) {
		k.replications[n].complete(false)
		n++
	}
	k.replications = k.replications[n:]
}

// sendBatches sends a batch to each member that lacks records and has no batch in flight.
func (k *Keeper) sendBatches() {
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
			m.restartSnapshot()
			m.needsSnapshot = false
		}
		if len(m.queue) > 0 || m.needsSnapshot || !m.probed {
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
	k.addQueuedRecords(m, b)
	if m.needsSnapshot {
		recs, position, more := k.cfg.Recorder.Chunk(m.ackedPosition, maxChunkRecords, maxChunkBytes)
		for _, rec := range recs {
			b.Records = append(b.Records, recorder.ToWire(rec))
		}
		m.sentPosition, m.sentLastChunk, b.Completes = position, !more, !more
	}
	epoch, seq := k.epoch, m.sequence
	e := &wire.Envelope{Body: &wire.Envelope_RecordBatch{RecordBatch: b}}
	k.cfg.Call(m.name, e, now.Add(callTimeout), func(reply *wire.Envelope, err error) {
		k.events <- func() { k.onBatchReply(epoch, m, seq, reply.GetRecordAck(), err) }
	})
}

// addQueuedRecords moves queued records into the batch, up to the limits of a chunk.
func (k *Keeper) addQueuedRecords(m *member, b *wire.RecordBatch) {
	size, n := 0, 0
	m.inFlight = m.inFlight[:0]
	for n < len(m.queue) && n < maxChunkRecords && size < maxChunkBytes {
		r := m.queue[n]
		n++
		if r.commit && r.done == nil && k.cfg.Recorder.Get(r.key) == nil {
			continue // the submission was refused in the meantime
		}
		m.inFlight = append(m.inFlight, r)
		b.Records = append(b.Records, r.rec)
		for _, t := range r.rec.Answer.GetTasks() {
			size += len(t.Payload)
		}
	}
	m.queue = m.queue[n:]
}

// onBatchReply handles the acknowledgement of a batch, or its failure. It checks the ownership first: an
// acknowledgement that arrives after the lease has expired is ignored.
func (k *Keeper) onBatchReply(epoch uint64, m *member, seq uint64, ack *wire.RecordAck, err error) {
	now := k.cfg.Now()
	k.syncOwnership(now)
	if k.phase != active || epoch != k.epoch || !m.busy || seq != m.sequence {
		return
	}
	m.busy = false
	if err != nil || ack == nil || !ack.Accepted || ack.Sequence != seq {
		// A refusal because of a newer epoch is left to the elector: an owner does not step down because of a single
		// member.
		m.queue = append(append([]*replication(nil), m.inFlight...), m.queue...)
		m.inFlight = m.inFlight[:0]
		m.retryAt = now.Add(retryDelay)
		return
	}
	for i, r := range m.inFlight {
		r.acks++
		if r.acks == k.cfg.Elector.Majority() {
			k.onMajority(r)
		}
		m.inFlight[i] = nil
	}
	m.inFlight = m.inFlight[:0]
	m.probed = true
	switch {
	case m.needsSnapshot && m.sentLastChunk && ack.Complete:
		m.needsSnapshot = false
	case m.needsSnapshot:
		m.ackedPosition = m.sentPosition
	case !ack.Complete:
		m.restartSnapshot()
	}
}
