package keeper

import (
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

const (
	// chunkRecords and chunkBytes bound one snapshot message, so that no thread works on one for more than a few
	// milliseconds.
	chunkRecords = 2048
	chunkBytes   = 256 << 10
	// callLimit ends the wait for a member that does not answer.
	callLimit = 400 * time.Millisecond
	// retryPause is the pause after a failed call to a member.
	retryPause = 50 * time.Millisecond
)

// takeover collects the records of the other members.
type takeover struct {
	until   time.Time
	fetches []*fetch
}

type fetch struct {
	from    string
	after   uint64
	busy    bool
	retryAt time.Time
	// incomplete is true once any chunk came from a member without all records.
	incomplete bool
	done       bool
}

// update brings the keeper in line with its elector and publishes what others may know.
func (k *Keeper) update(now time.Time) {
	own := k.cfg.Elector.Ownership(now)
	if k.phase != idle && (!own.Held || own.Epoch != k.epoch) {
		k.lose()
	}
	if own.Held && k.phase == idle {
		k.gain(now, own.Epoch)
	}
	if own.Held != k.lastOwner.Held || own.Owner != k.lastOwner.Owner || own.Epoch != k.lastOwner.Epoch {
		k.cfg.Log.Info("Ownership changed.", "group", k.cfg.Group, "owner", own.Owner, "epoch", own.Epoch, "held", own.Held)
	}
	k.lastOwner = own
	p := Published{Ownership: own, Active: k.phase == active, Floor: k.cfg.Recorder.Floor()}
	if old := k.published.Load(); *old != p {
		k.published.Store(&p)
	}
}

func (k *Keeper) lose() {
	wasActive := k.phase == active
	k.phase, k.takeover = idle, nil
	if wasActive && k.cfg.SetOwner != nil {
		k.cfg.SetOwner(false)
	}
	waits := k.waits
	k.waits = nil
	for _, it := range waits {
		it.end(false)
	}
	for _, m := range k.members {
		*m = member{name: m.name, sequence: m.sequence}
	}
}

func (k *Keeper) gain(now time.Time, epoch uint64) {
	k.phase, k.epoch = takingOver, epoch
	k.takeover = &takeover{until: now.Add(k.cfg.Lease)}
	for _, m := range k.members {
		k.takeover.fetches = append(k.takeover.fetches, &fetch{from: m.name})
	}
	k.pursueTakeover(now)
}

// pursueTakeover asks for the next snapshot chunks and ends the takeover once a majority's records are here. Without
// that it waits for one lease after the last chunk; the floor then covers what may be missing.
func (k *Keeper) pursueTakeover(now time.Time) {
	if k.phase != takingOver {
		return
	}
	completes, open := 0, 0
	if k.complete {
		completes++
	}
	for _, f := range k.takeover.fetches {
		switch {
		case f.done && !f.incomplete:
			completes++
		case !f.done:
			open++
			if !f.busy && !now.Before(f.retryAt) {
				k.fetch(now, f)
			}
		}
	}
	switch {
	case completes >= k.cfg.Elector.Majority():
		k.takeOver(now, true)
	case open == 0 || !now.Before(k.takeover.until):
		k.takeOver(now, false)
	}
}

func (k *Keeper) takeOver(now time.Time, complete bool) {
	k.cfg.Recorder.TakeOver(now, complete)
	k.phase, k.takeover = active, nil
	k.setComplete(true)
	k.cfg.Log.Info("Records taken over.", "group", k.cfg.Group, "epoch", k.epoch, "complete", complete, "records", k.cfg.Recorder.Len())
	if k.cfg.SetOwner != nil {
		// Held is consulted before each start, so it must be true before the dispatcher hears of the ownership.
		k.update(now)
		k.cfg.SetOwner(true)
	}
}

func (k *Keeper) setComplete(complete bool) {
	k.complete = complete
	k.cfg.Elector.SetComplete(complete)
}

func (k *Keeper) fetch(now time.Time, f *fetch) {
	f.busy = true
	epoch := k.epoch
	e := &wire.Envelope{Body: &wire.Envelope_RecordSnapshotRequest{RecordSnapshotRequest: &wire.RecordSnapshotRequest{
		Group: k.cfg.Group, Epoch: epoch, After: f.after,
	}}}
	k.cfg.Call(f.from, e, now.Add(callLimit), func(reply *wire.Envelope, err error) {
		k.events <- func() { k.fetched(epoch, f, reply.GetRecordSnapshot(), err) }
	})
}

// fetched merges one chunk at once: every record in it is a fact, also when the rest never comes.
func (k *Keeper) fetched(epoch uint64, f *fetch, s *wire.RecordSnapshot, err error) {
	now := k.cfg.Now()
	k.update(now)
	if k.phase != takingOver || epoch != k.epoch {
		return
	}
	f.busy = false
	if err != nil || s == nil || !s.Accepted {
		f.retryAt = now.Add(retryPause)
		return
	}
	k.cfg.Recorder.Merge(now, recorder.FromWire(s.Records))
	k.raiseFloor(s.FloorMillis)
	f.incomplete = f.incomplete || !s.Complete
	f.after, f.done = s.Position, !s.More
	// A full table takes longer than one lease; while chunks arrive, the wait is not in vain.
	k.takeover.until = now.Add(k.cfg.Lease)
	k.pursueTakeover(now)
}

func (k *Keeper) raiseFloor(millis int64) {
	if millis > 0 {
		k.cfg.Recorder.RaiseFloor(time.UnixMilli(millis))
	}
}

func (k *Keeper) floorMillis() int64 {
	if f := k.cfg.Recorder.Floor(); !f.IsZero() {
		// Rounded up, since a floor must not fall on its way.
		return f.Add(time.Millisecond - 1).UnixMilli()
	}
	return 0
}

// HandleSnapshotRequest answers a new owner. It runs on a reader's goroutine; without room the caller repeats.
func (k *Keeper) HandleSnapshotRequest(q *wire.RecordSnapshotRequest, reply func(*wire.Envelope)) {
	k.tryPeer(func() {
		now := k.cfg.Now()
		s := &wire.RecordSnapshot{Group: k.cfg.Group}
		// From here on batches of older epochs are refused, so that nothing is committed that the new owner lacks.
		k.cfg.Elector.Observe(now, q.Epoch)
		k.update(now)
		if q.Epoch == k.cfg.Elector.Promised() && k.phase == idle {
			recs, position, more := k.cfg.Recorder.Chunk(q.After, chunkRecords, chunkBytes)
			s.Accepted, s.Complete, s.Position, s.More, s.FloorMillis = true, k.complete, position, more, k.floorMillis()
			for _, rec := range recs {
				s.Records = append(s.Records, recorder.ToWire(rec))
			}
		}
		reply(&wire.Envelope{Body: &wire.Envelope_RecordSnapshot{RecordSnapshot: s}})
	})
}

// HandleBatch stores what the owner has sent.
func (k *Keeper) HandleBatch(b *wire.RecordBatch, reply func(*wire.Envelope)) {
	k.tryPeer(func() {
		now := k.cfg.Now()
		k.cfg.Elector.Observe(now, b.Epoch)
		k.update(now)
		// A member that has just restarted knows no epoch, so for one lease it accepts nothing: an owner that it has
		// voted out in its earlier run has no lease any more after that. The incarnation refuses what was sent to the
		// earlier run.
		ok := b.Epoch == k.cfg.Elector.Promised() && k.phase == idle && b.Incarnation == k.cfg.Incarnation &&
			k.cfg.Elector.MayPromise(now)
		if ok {
			k.cfg.Recorder.Merge(now, recorder.FromWire(b.Records))
			k.raiseFloor(b.FloorMillis)
			if b.Completes {
				k.setComplete(true)
			}
		}
		reply(&wire.Envelope{Body: &wire.Envelope_RecordAck{RecordAck: &wire.RecordAck{
			Group: k.cfg.Group, Epoch: k.cfg.Elector.Promised(), Sequence: b.Sequence, Accepted: ok, Complete: k.complete,
		}}})
	})
}

func (k *Keeper) tryPeer(f func()) {
	select {
	case k.peers <- f:
	default:
	}
}
