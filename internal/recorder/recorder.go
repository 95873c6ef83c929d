package recorder

import (
	"bytes"
	"container/heap"
	"time"

	"clementineyard/wire"
)

// Verdict is what Begin found.
type Verdict int

// The verdicts of Begin.
const (
	// VerdictNew: the key was not known; it is pending until Commit or Abandon.
	VerdictNew Verdict = iota + 1
	// VerdictFinished: the submission has ended; its answer is returned.
	VerdictFinished
	// VerdictRunning: the submission was accepted and has not ended.
	VerdictRunning
	// VerdictConflict: the key was used with other content.
	VerdictConflict
	// VerdictExpired: the key is older than the retention; nothing is known of it any more.
	VerdictExpired
	// VerdictTooNew: the key's issue time lies further ahead than the clock margin.
	VerdictTooNew
	// VerdictRecordsLost: the key is older than the floor; it may have been accepted and forgotten.
	VerdictRecordsLost
	// VerdictFull: the table has reached its budget.
	VerdictFull
	// VerdictNotOwner: this VM does not own the submission's home.
	VerdictNotOwner
	// VerdictNoQuorum: a majority of the group did not acknowledge the record.
	VerdictNoQuorum
)

const (
	// DefaultBudget bounds the records, and separately the answers, in bytes.
	DefaultBudget = 64 << 20
	// DefaultMinRetention is how long a finished record is kept however full the table is. Resubmissions after a lost
	// connection come within this time.
	DefaultMinRetention = time.Minute
	// entryOverhead is the measured heap cost of a record beside its key, see BenchmarkMemory.
	entryOverhead = 216
	// evictShare of the budget is freed at once, so that a full table does not sort out records at each submission.
	evictShare = 64
	// floorStep is the resolution of issue times.
	floorStep = time.Millisecond
)

// Record is what the group remembers of one submission.
type Record struct {
	Key         Key
	ContentHash []byte
	Team        string
	TaskCount   int
	State       wire.State
	Epoch       uint64
	// Answer is nil until the submission has ended. It has no tasks after its body was dropped.
	Answer *wire.Answer
}

// Config constructs a Recorder. Zero budgets and a zero minimum retention take the defaults.
type Config struct {
	Retention time.Duration
	// ClockMargin bounds how far ahead of the owner's clock a key may be issued.
	ClockMargin time.Duration
	// MemberSkew bounds the clock difference between two members of the group. It is added to a raised floor, because
	// the lost records were accepted by another clock.
	MemberSkew time.Duration
	// MinRetention bounds the floor's rise when the table is full.
	MinRetention time.Duration
	// RecordBytes and AnswerBytes bound the memory of records and of answers.
	RecordBytes, AnswerBytes int
}

// Recorder holds the records of one group. It is not safe for concurrent use.
type Recorder struct {
	cfg     Config
	records map[string]*entry
	byAge   ageHeap
	// order lists the entries by position for chunked snapshots; forgotten ones are nil until they are compacted.
	order    []*entry
	first    uint64
	teams    map[string]string
	answers  answerQueue
	floor    time.Time
	bytes    int
	answered int
}

// New returns an empty Recorder.
func New(cfg Config) *Recorder {
	if cfg.RecordBytes == 0 {
		cfg.RecordBytes = DefaultBudget
	}
	if cfg.AnswerBytes == 0 {
		cfg.AnswerBytes = DefaultBudget
	}
	if cfg.MinRetention == 0 {
		cfg.MinRetention = DefaultMinRetention
	}
	return &Recorder{cfg: cfg, records: map[string]*entry{}, teams: map[string]string{}, first: 1}
}

// Floor returns the issue time below which a key that is not in the table is refused.
func (r *Recorder) Floor() time.Time { return r.floor }

// RaiseFloor takes over the floor of another member; a floor never falls.
func (r *Recorder) RaiseFloor(t time.Time) {
	if t.After(r.floor) {
		r.floor = t
	}
}

// Len returns the number of records.
func (r *Recorder) Len() int { return len(r.records) }

// Bytes returns the estimated memory of the records and of the answers.
func (r *Recorder) Bytes() (records, answers int) { return r.bytes, r.answered }

// Begin looks the key up and, when it is new, adds a pending record.
//
// The table comes first: a key that has run must never be called too new, or full, which would say that it did not run.
func (r *Recorder) Begin(now time.Time, rec Record) (*Record, Verdict) {
	if old := r.records[rec.Key.String()]; old != nil {
		return r.known(now, old, rec)
	}
	switch {
	case r.expired(now, rec.Key):
		return nil, VerdictExpired
	case rec.Key.Issued.Before(r.floor):
		return nil, VerdictRecordsLost
	case rec.Key.Issued.After(now.Add(r.cfg.ClockMargin)):
		return nil, VerdictTooNew
	case !r.makeRoom(now, rec.Key):
		return nil, VerdictFull
	}
	rec.State, rec.Answer = wire.State_STATE_ACCEPTED, nil
	e := r.add(rec)
	e.pending = true
	return &rec, VerdictNew
}

func (r *Recorder) known(now time.Time, old *entry, rec Record) (*Record, Verdict) {
	found := old.record()
	switch {
	case !bytes.Equal(old.hash(), rec.ContentHash):
		return &found, VerdictConflict
	case old.state == wire.State_STATE_ACCEPTED:
		return &found, VerdictRunning
	case r.expired(now, rec.Key):
		// The answer may still be here by chance of timing; every resubmission after the retention gets the same.
		return nil, VerdictExpired
	}
	return &found, VerdictFinished
}

func (r *Recorder) expired(now time.Time, k Key) bool {
	return k.Issued.Add(r.cfg.Retention).Before(now)
}

// Get returns a copy of the record, or nil.
func (r *Recorder) Get(key Key) *Record {
	e := r.records[key.String()]
	if e == nil {
		return nil
	}
	rec := e.record()
	return &rec
}

// Pending reports whether the record waits for Commit or Abandon.
func (r *Recorder) Pending(key Key) bool {
	e := r.records[key.String()]
	return e != nil && e.pending
}

// Commit marks a pending record as acknowledged by a majority; its tasks may start.
func (r *Recorder) Commit(key Key) bool {
	e := r.records[key.String()]
	if e == nil || !e.pending {
		return false
	}
	e.pending = false
	return true
}

// Abandon drops a pending record whose submission was refused. A record that was committed stays.
func (r *Recorder) Abandon(key Key) {
	if e := r.records[key.String()]; e != nil && e.pending {
		r.remove(e)
	}
}

// Finish stores the final answer. It reports false when there is no record of the key. An answer that is already there
// stays, but for the failure that a takeover recorded: the owner that ran the tasks knows better.
func (r *Recorder) Finish(now time.Time, key Key, a *wire.Answer) bool {
	e := r.records[key.String()]
	if e == nil {
		return false
	}
	if e.state == wire.State_STATE_ACCEPTED || e.answer.GetReason() == wire.Reason_REASON_OWNER_LOST {
		e.pending = false
		r.setAnswer(e, a.State, a)
		r.trimAnswers()
	}
	return true
}

// Merge takes records of another member: a finished one wins over an accepted one. A replica accepts what the owner has
// accepted also beyond its budget, but sorts out what is older than the minimum retention.
func (r *Recorder) Merge(now time.Time, recs []Record) {
	for i := range recs {
		in := &recs[i]
		if in.Key.Issued.Add(r.keep()).Before(now) {
			continue
		}
		e := r.records[in.Key.String()]
		if e == nil {
			r.makeRoom(now, in.Key)
			e = r.add(*in)
		}
		if in.State == wire.State_STATE_ACCEPTED {
			e.epoch = max(e.epoch, in.Epoch)
			continue
		}
		if e.state == wire.State_STATE_ACCEPTED || e.epoch < in.Epoch || (e.epoch == in.Epoch && fuller(in.Answer, e.answer)) {
			e.pending, e.epoch = false, in.Epoch
			r.setAnswer(e, in.State, in.Answer)
		}
	}
	r.trimAnswers()
}

func fuller(a, b *wire.Answer) bool {
	return b.GetReason() == wire.Reason_REASON_OWNER_LOST && a.GetReason() != wire.Reason_REASON_OWNER_LOST
}

// TakeOver begins an ownership: unfinished records become failed, since the tasks may have run at the old owner. Unless
// the merged records are complete, the floor rises over every key that the old owner may have accepted.
func (r *Recorder) TakeOver(now time.Time, complete bool) {
	for _, e := range r.order {
		if e == nil || e.state != wire.State_STATE_ACCEPTED {
			continue
		}
		e.pending = false
		r.setAnswer(e, wire.State_STATE_FAILED, &wire.Answer{
			Key: e.key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_FAILED, Reason: wire.Reason_REASON_OWNER_LOST,
		})
	}
	if !complete {
		r.RaiseFloor(now.Add(r.cfg.ClockMargin + r.cfg.MemberSkew))
	}
}

// keep is how long records stay. It is longer than the retention by the clock differences, so that no member has
// forgotten a key that another still accepts.
func (r *Recorder) keep() time.Duration {
	return r.cfg.Retention + r.cfg.ClockMargin + r.cfg.MemberSkew
}

// Forget drops the records whose retention is over and returns their number.
func (r *Recorder) Forget(now time.Time) int {
	n := 0
	for len(r.byAge) > 0 && r.byAge[0].issued().Add(r.keep()).Before(now) {
		r.remove(r.byAge[0])
		n++
	}
	r.trimAnswers()
	return n
}

// makeRoom raises the floor over the oldest finished records while the table is at its budget.
func (r *Recorder) makeRoom(now time.Time, k Key) bool {
	need := entryOverhead + len(k.String())
	if r.bytes+need <= r.cfg.RecordBytes {
		return true
	}
	r.evict(now, r.cfg.RecordBytes-r.cfg.RecordBytes/evictShare-need)
	return r.bytes+need <= r.cfg.RecordBytes
}

// evict removes finished records until the rest fits. Unfinished ones stay in the table below the floor.
func (r *Recorder) evict(now time.Time, target int) {
	youngest := now.Add(-r.cfg.MinRetention)
	var unfinished []*entry
	for r.bytes > target && len(r.byAge) > 0 && r.byAge[0].issued().Before(youngest) {
		e := r.byAge[0]
		if e.state == wire.State_STATE_ACCEPTED {
			heap.Pop(&r.byAge)
			unfinished = append(unfinished, e)
			continue
		}
		r.RaiseFloor(e.issued().Add(floorStep))
		r.remove(e)
	}
	for _, e := range unfinished {
		heap.Push(&r.byAge, e)
	}
}

// Lookup tells what is known of a key without adding it. VerdictNew means that the key is unknown.
func (r *Recorder) Lookup(now time.Time, key Key) (Verdict, *wire.Answer) {
	e := r.records[key.String()]
	switch {
	case e != nil && e.state == wire.State_STATE_ACCEPTED:
		return VerdictRunning, nil
	case r.expired(now, key):
		return VerdictExpired, nil
	case e != nil:
		return VerdictFinished, e.answer
	case key.Issued.Before(r.floor):
		return VerdictRecordsLost, nil
	}
	return VerdictNew, nil
}
