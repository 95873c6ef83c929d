package keeper

import (
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

const (
	// maxChunkRecords and maxChunkBytes bound one snapshot chunk, so that handling one takes at most a few
	// milliseconds.
	maxChunkRecords = 2048
	maxChunkBytes   = 256 << 10
	// callTimeout bounds the wait for the reply of a member.
	callTimeout = 400 * time.Millisecond
	// retryDelay is the delay after a failed call to a member.
	retryDelay = 50 * time.Millisecond
)

// takeover is the state of collecting the records of the other members.
type takeover struct {
	// until is when the takeover ends without a majority's records.
	until   time.Time
	fetches []*snapshotFetch
}

// snapshotFetch reads the record table of one member in chunks.
type snapshotFetch struct {
	from string
	// after is the position of the last record that has arrived.
	after   uint64
	busy    bool
	retryAt time.Time
	// incomplete is set once the member has sent a chunk while it did not hold all records.
	incomplete bool
	done       bool
}

// syncOwnership applies a change of ownership that the elector has made and publishes the state.
func (k *Keeper) syncOwnership(now time.Time) {
	own := k.cfg.Elector.Ownership(now)
	if k.phase != notOwner && (!own.HeldHere || own.Epoch != k.epoch) {
		k.loseOwnership()
	}
	if own.HeldHere && k.phase == notOwner {
		k.gainOwnership(now, own.Epoch)
	}
	if own.HeldHere != k.lastOwnership.HeldHere || own.Owner != k.lastOwnership.Owner || own.Epoch != k.lastOwnership.Epoch {
		k.cfg.Log.Info("Ownership changed.", "group", k.cfg.Group, "owner", own.Owner, "epoch", own.Epoch, "held", own.HeldHere)
	}
	k.lastOwnership = own
	p := State{Ownership: own, Active: k.phase == active, Floor: k.cfg.Recorder.Floor()}
	if old := k.published.Load(); *old != p {
		k.published.Store(&p)
	}
}

// loseOwnership fails the unfinished replications and forgets what the other members hold.
func (k *Keeper) loseOwnership() {
	wasActive := k.phase == active
	k.phase, k.takeover = notOwner, nil
	if wasActive && k.cfg.SetOwner != nil {
		k.cfg.SetOwner(false)
	}
	unfinished := k.replications
	k.replications = nil
	for _, r := range unfinished {
		r.complete(false)
	}
	for _, m := range k.members {
		*m = member{name: m.name, sequence: m.sequence}
	}
}

// gainOwnership starts the takeover of the records.
func (k *Keeper) gainOwnership(now time.Time, epoch uint64) {
	k.phase, k.epoch = takingOver, epoch
	k.takeover = &takeover{until: now.Add(k.cfg.Lease)}
	for _, m := range k.members {
		k.takeover.fetches = append(k.takeover.fetches, &snapshotFetch{from: m.name})
	}
	k.advanceTakeover(now)
}

// advanceTakeover requests the next snapshot chunks and ends the takeover once a majority of the members, each of which
// holds every record that it has acknowledged, has been read. Otherwise it ends once all members have been read, or one
// lease after the last chunk; the raised floor then covers the records that may be missing.
func (k *Keeper) advanceTakeover(now time.Time) {
	if k.phase != takingOver {
		return
	}
	completeMembers, openFetches := 0, 0
	if k.complete {
		completeMembers++
	}
	for _, f := range k.takeover.fetches {
		switch {
		case f.done && !f.incomplete:
			completeMembers++
		case !f.done:
			openFetches++
			if !f.busy && !now.Before(f.retryAt) {
				k.requestChunk(now, f)
			}
		}
	}
	switch {
	case completeMembers >= k.cfg.Elector.Majority():
		k.finishTakeover(now, true)
	case openFetches == 0 || !now.Before(k.takeover.until):
		k.finishTakeover(now, false)
	}
}

// finishTakeover ends the takeover and makes this member the active owner.
func (k *Keeper) finishTakeover(now time.Time, complete bool) {
	k.cfg.Recorder.TakeOver(now, complete)
	k.phase, k.takeover = active, nil
	k.setComplete(true)
	k.cfg.Log.Info("New owner took over the records.", "group", k.cfg.Group, "epoch", k.epoch, "complete", complete, "records", k.cfg.Recorder.Len())
	if k.cfg.SetOwner != nil {
		// The dispatcher calls HoldsLease before each start, so the state must be published before it learns of the
		// ownership.
		k.syncOwnership(now)
		k.cfg.SetOwner(true)
	}
}

func (k *Keeper) setComplete(complete bool) {
	k.complete = complete
	k.cfg.Elector.SetComplete(complete)
}

func (k *Keeper) requestChunk(now time.Time, f *snapshotFetch) {
	f.busy = true
	epoch := k.epoch
	e := &wire.Envelope{Body: &wire.Envelope_RecordSnapshotRequest{RecordSnapshotRequest: &wire.RecordSnapshotRequest{
		Group: k.cfg.Group, Epoch: epoch, After: f.after,
	}}}
	k.cfg.Call(f.from, e, now.Add(callTimeout), func(reply *wire.Envelope, err error) {
		k.events <- func() { k.onChunk(epoch, f, reply.GetRecordSnapshot(), err) }
	})
}

// onChunk merges a chunk as soon as it arrives: its records are valid even if the remaining chunks never arrive.
func (k *Keeper) onChunk(epoch uint64, f *snapshotFetch, s *wire.RecordSnapshot, err error) {
	now := k.cfg.Now()
	k.syncOwnership(now)
	if k.phase != takingOver || epoch != k.epoch {
		return
	}
	f.busy = false
	if err != nil || s == nil || !s.Accepted {
		f.retryAt = now.Add(retryDelay)
		return
	}
	k.cfg.Recorder.Merge(now, recorder.FromWire(s.Records))
	k.raiseFloor(s.FloorMillis)
	f.incomplete = f.incomplete || !s.Complete
	f.after, f.done = s.Position, !s.More
	// A full table takes longer than one lease to read, so each chunk extends the wait.
	k.takeover.until = now.Add(k.cfg.Lease)
	k.advanceTakeover(now)
}

func (k *Keeper) raiseFloor(millis int64) {
	if millis > 0 {
		k.cfg.Recorder.RaiseFloor(time.UnixMilli(millis))
	}
}

// floorMillis returns the floor in Unix milliseconds, or 0 when there is none.
func (k *Keeper) floorMillis() int64 {
	if f := k.cfg.Recorder.Floor(); !f.IsZero() {
		// Rounded up, because a floor must not decrease in transit.
		return f.Add(time.Millisecond - 1).UnixMilli()
	}
	return 0
}

// HandleSnapshotRequest replies to a new owner with one chunk of the record table. It may run on any goroutine. When
// the queue is full the request is dropped, and the new owner retries it.
func (k *Keeper) HandleSnapshotRequest(req *wire.RecordSnapshotRequest, reply func(*wire.Envelope)) {
	k.enqueuePeer(func() {
		now := k.cfg.Now()
		s := &wire.RecordSnapshot{Group: k.cfg.Group}
		// From now on batches of older epochs are refused, so that no record is committed that the new owner lacks.
		k.cfg.Elector.ObserveEpoch(now, req.Epoch)
		k.syncOwnership(now)
		if req.Epoch == k.cfg.Elector.PromisedEpoch() && k.phase == notOwner {
			recs, position, more := k.cfg.Recorder.Chunk(req.After, maxChunkRecords, maxChunkBytes)
			s.Accepted, s.Complete, s.Position, s.More, s.FloorMillis = true, k.complete, position, more, k.floorMillis()
			for _, rec := range recs {
				s.Records = append(s.Records, recorder.ToWire(rec))
			}
		}
		reply(&wire.Envelope{Body: &wire.Envelope_RecordSnapshot{RecordSnapshot: s}})
	})
}

// HandleBatch merges a batch of records from the owner and replies with an acknowledgement. It may run on any
// goroutine. When the queue is full the batch is dropped, and the owner retries it.
func (k *Keeper) HandleBatch(b *wire.RecordBatch, reply func(*wire.Envelope)) {
	k.enqueuePeer(func() {
		now := k.cfg.Now()
		k.cfg.Elector.ObserveEpoch(now, b.Epoch)
		k.syncOwnership(now)
		// A restarted member has lost its epoch, so it accepts nothing for one lease: by then the lease of any owner
		// that it voted out before the restart has expired. The incarnation check refuses batches that were sent to the
		// earlier process.
		ok := b.Epoch == k.cfg.Elector.PromisedEpoch() && k.phase == notOwner && b.Incarnation == k.cfg.Incarnation &&
			k.cfg.Elector.MayPromise(now)
		if ok {
			k.cfg.Recorder.Merge(now, recorder.FromWire(b.Records))
			k.raiseFloor(b.FloorMillis)
			if b.Completes {
				k.setComplete(true)
			}
		}
		reply(&wire.Envelope{Body: &wire.Envelope_RecordAck{RecordAck: &wire.RecordAck{
			Group: k.cfg.Group, Epoch: k.cfg.Elector.PromisedEpoch(), Sequence: b.Sequence, Accepted: ok, Complete: k.complete,
		}}})
	})
}

func (k *Keeper) enqueuePeer(f func()) {
	select {
	case k.peerCalls <- f:
	default:
	}
}
