package recorder

import (
	"bytes"
	"container/heap"
	"time"

	"clementineyard/wire"
)

// Verdict is the result of looking up a key.
type Verdict int

// The verdicts on a key. A Recorder returns all but VerdictNotOwner and VerdictNoQuorum, which its callers add.
const (
	// VerdictNew: the key has no record. Begin has added one, which is pending until Commit or Abandon.
	VerdictNew Verdict = iota + 1
	// VerdictFinished: the submission has ended, and its answer is returned.
	VerdictFinished
	// VerdictRunning: the submission was accepted and has not ended.
	VerdictRunning
	// VerdictConflict: the key was used for a submission with different content.
	VerdictConflict
	// VerdictExpired: the key is older than the retention period, so whether it ran is no longer known.
	VerdictExpired
	// VerdictTooNew: the key's issue time is further in the future than the clock margin.
	VerdictTooNew
	// VerdictRecordsLost: the key was issued before the floor, so it may have been accepted and its record lost.
	VerdictRecordsLost
	// VerdictFull: the table has reached its memory budget.
	VerdictFull
	// VerdictNotOwner: this VM does not own the submission's home.
	VerdictNotOwner
	// VerdictNoQuorum: a majority of the group did not acknowledge the record.
	VerdictNoQuorum
)

const (
	// DefaultBudget bounds the memory of the records, and separately that of the answers, in bytes.
	DefaultBudget = 64 << 20
	// DefaultMinRetention is how long a finished record is kept even if the table is full. Callers that lost their
	// connection resubmit within this time.
	DefaultMinRetention = time.Minute
	// entryOverhead is the heap size of a record without its key, in bytes; BenchmarkMemory reports it.
	entryOverhead = 216
	// evictionDivisor is the reciprocal of the share of the budget that an eviction frees in addition, so that a full
	// table does not evict records at each submission.
	evictionDivisor = 64
	// issueTimeResolution is the resolution of issue times.
	issueTimeResolution = time.Millisecond
)

// Record is what a group replicates about one submission.
type Record struct {
	Key         Key
	ContentHash []byte
	Team        string
	TaskCount   int
	State       wire.State
	Epoch       uint64
	// Answer is nil until the submission has ended. It has no tasks once its body has been dropped.
	Answer *wire.Answer
}

// Config holds the parameters of a Recorder. Zero budgets and a zero minimum retention select the defaults.
type Config struct {
	// Retention is the age up to which a key is accepted and its answer returned.
	Retention time.Duration
	// ClockMargin is how far ahead of the owner's clock the issue time of a key may be.
	ClockMargin time.Duration
	// MemberSkew bounds the clock difference between two members of the group. It is added when a takeover raises the
	// floor, because the lost records were accepted by another member's clock.
	MemberSkew time.Duration
	// MinRetention is the age that a finished record must have before a full table may evict it and raise the floor.
	MinRetention time.Duration
	// RecordBytes and AnswerBytes bound the memory of records and of answers, in bytes.
	RecordBytes, AnswerBytes int
}

// Recorder holds the records of one group. It is not safe for concurrent use.
type Recorder struct {
	cfg         Config
	records     map[string]*entry
	byIssueTime issueTimeHeap
	// byPosition lists the entries by position for snapshots in chunks. Its first element has the position
	// firstPosition. Removed entries are nil until they are compacted.
	byPosition    []*entry
	firstPosition uint64
	// teams interns the names of teams.
	teams   map[string]string
	answers answerQueue
	floor   time.Time
	// totalRecordBytes and totalAnswerBytes are the estimated memory of the records and of the answers.
	totalRecordBytes int
	totalAnswerBytes int
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
	return &Recorder{cfg: cfg, records: map[string]*entry{}, teams: map[string]string{}, firstPosition: 1}
}

// Floor returns the issue time before which a key without a record is refused. It is zero until it is first raised.
func (r *Recorder) Floor() time.Time { return r.floor }

// RaiseFloor raises the floor to t. The floor never decreases.
func (r *Recorder) RaiseFloor(t time.Time) {
	if t.After(r.floor) {
		r.floor = t
	}
}

// Len returns the number of records.
func (r *Recorder) Len() int { return len(r.records) }

// Bytes returns the estimated memory of the records and of the answers, in bytes.
func (r *Recorder) Bytes() (records, answers int) { return r.totalRecordBytes, r.totalAnswerBytes }

// Begin looks up the key and, if it is new, adds a pending record. It returns the record for VerdictNew,
// VerdictFinished, VerdictRunning and VerdictConflict, and nil otherwise.
//
// The table is consulted first: VerdictTooNew and VerdictFull say that the submission did not run, so they must never
// be returned for a key that has a record.
func (r *Recorder) Begin(now time.Time, rec Record) (*Record, Verdict) {
	if old := r.records[rec.Key.String()]; old != nil {
		return r.beginExisting(now, old, rec)
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

// beginExisting returns the verdict on a key that has a record.
func (r *Recorder) beginExisting(now time.Time, old *entry, rec Record) (*Record, Verdict) {
	found := old.record()
	switch {
	case !bytes.Equal(old.hash(), rec.ContentHash):
		return &found, VerdictConflict
	case old.state == wire.State_STATE_ACCEPTED:
		return &found, VerdictRunning
	case r.expired(now, rec.Key):
		// The record may not have been dropped yet, but every resubmission after the retention period gets the same
		// verdict.
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

// Pending reports whether there is a record of the key that waits for Commit or Abandon.
func (r *Recorder) Pending(key Key) bool {
	e := r.records[key.String()]
	return e != nil && e.pending
}

// Commit marks a pending record as acknowledged by a majority: its tasks may start. It reports false when there is
// none.
func (r *Recorder) Commit(key Key) bool {
	e := r.records[key.String()]
	if e == nil || !e.pending {
		return false
	}
	e.pending = false
	return true
}

// Abandon drops a pending record whose submission was refused. A committed record stays.
func (r *Recorder) Abandon(key Key) {
	if e := r.records[key.String()]; e != nil && e.pending {
		r.remove(e)
	}
}

// Finish stores the final answer. It reports false when there is no record of the key. It keeps an answer that is
// already stored, unless a takeover recorded it as a failure: the owner that ran the tasks knows the actual outcome.
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

// Merge adds records of another member. A finished record replaces an accepted one, and of two finished ones that of
// the later epoch is kept. A replica stores the owner's records even beyond its own budget, but then evicts finished
// records that are older than the minimum retention.
func (r *Recorder) Merge(now time.Time, recs []Record) {
	for i := range recs {
		in := &recs[i]
		if in.Key.Issued.Add(r.keepPeriod()).Before(now) {
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
		if e.state == wire.State_STATE_ACCEPTED || e.epoch < in.Epoch || (e.epoch == in.Epoch && replacesOwnerLost(in.Answer, e.answer)) {
			e.pending, e.epoch = false, in.Epoch
			r.setAnswer(e, in.State, in.Answer)
		}
	}
	r.trimAnswers()
}

// replacesOwnerLost reports whether a replaces b: b is the failure that a takeover recorded and a is not.
func replacesOwnerLost(a, b *wire.Answer) bool {
	return b.GetReason() == wire.Reason_REASON_OWNER_LOST && a.GetReason() != wire.Reason_REASON_OWNER_LOST
}

// TakeOver prepares the records of a new owner. It marks unfinished records as failed with an unknown outcome, because
// their tasks may have run under the old owner. Unless the merged records are complete, it raises the floor above the
// issue time of every key that the old owner may have accepted.
func (r *Recorder) TakeOver(now time.Time, complete bool) {
	for _, e := range r.byPosition {
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

// keepPeriod returns how long records are kept after their issue time. It exceeds the retention by the clock
// differences, so that no member drops the record of a key that another member still accepts.
func (r *Recorder) keepPeriod() time.Duration {
	return r.cfg.Retention + r.cfg.ClockMargin + r.cfg.MemberSkew
}

// DropExpired drops the records that need not be kept any longer and returns their number.
func (r *Recorder) DropExpired(now time.Time) int {
	n := 0
	for len(r.byIssueTime) > 0 && r.byIssueTime[0].issued().Add(r.keepPeriod()).Before(now) {
		r.remove(r.byIssueTime[0])
		n++
	}
	r.trimAnswers()
	return n
}

// makeRoom evicts records if the table is at its budget, and reports whether a record of the key fits then.
func (r *Recorder) makeRoom(now time.Time, k Key) bool {
	need := entryOverhead + len(k.String())
	if r.totalRecordBytes+need <= r.cfg.RecordBytes {
		return true
	}
	r.evict(now, r.cfg.RecordBytes-r.cfg.RecordBytes/evictionDivisor-need)
	return r.totalRecordBytes+need <= r.cfg.RecordBytes
}

// evict removes the oldest finished records, and raises the floor above them, until at most target bytes of records are
// left. Unfinished records stay in the table, although they are below the floor.
func (r *Recorder) evict(now time.Time, target int) {
	youngest := now.Add(-r.cfg.MinRetention)
	var unfinished []*entry
	for r.totalRecordBytes > target && len(r.byIssueTime) > 0 && r.byIssueTime[0].issued().Before(youngest) {
		e := r.byIssueTime[0]
		if e.state == wire.State_STATE_ACCEPTED {
			heap.Pop(&r.byIssueTime)
			unfinished = append(unfinished, e)
			continue
		}
		r.RaiseFloor(e.issued().Add(issueTimeResolution))
		r.remove(e)
	}
	for _, e := range unfinished {
		heap.Push(&r.byIssueTime, e)
	}
}

// Lookup returns the verdict on a key, and the answer if its submission has ended. It adds no record. VerdictNew means
// that the key is unknown.
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
