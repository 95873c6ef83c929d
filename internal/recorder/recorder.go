package recorder

import (
	"bytes"
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

// Record is what the group remembers of one submission.
type Record struct {
	Key         Key
	ContentHash []byte
	Team        string
	TaskCount   int
	State       wire.State
	Epoch       uint64
	// Answer is nil until the submission has ended, and after its body was dropped.
	Answer *wire.Answer
}

// Config constructs a Recorder.
type Config struct {
	Retention time.Duration
	// ClockMargin bounds the clock difference between entry VMs of a group and between callers and them.
	ClockMargin time.Duration
}

// Recorder holds the records of one group. It is not safe for concurrent use.
type Recorder struct {
	cfg     Config
	records map[string]*Record
}

// New returns an empty Recorder.
func New(cfg Config) *Recorder {
	return &Recorder{cfg: cfg, records: map[string]*Record{}}
}

// Begin looks the key up and, when it is new, adds a pending record.
func (r *Recorder) Begin(now time.Time, rec Record) (*Record, Verdict) {
	if rec.Key.Issued.Add(r.cfg.Retention).Before(now) {
		return nil, VerdictExpired
	}
	if rec.Key.Issued.After(now.Add(r.cfg.ClockMargin)) {
		return nil, VerdictTooNew
	}
	k := rec.Key.String()
	old := r.records[k]
	if old == nil {
		rec.State = wire.State_STATE_ACCEPTED
		r.records[k] = &rec
		return &rec, VerdictNew
	}
	if !bytes.Equal(old.ContentHash, rec.ContentHash) {
		return old, VerdictConflict
	}
	if old.State == wire.State_STATE_ACCEPTED {
		return old, VerdictRunning
	}
	return old, VerdictFinished
}

// Abandon drops a pending record whose submission was refused.
func (r *Recorder) Abandon(key Key) { delete(r.records, key.String()) }

// Finish stores the final answer.
func (r *Recorder) Finish(_ time.Time, key Key, a *wire.Answer) {
	if rec := r.records[key.String()]; rec != nil {
		rec.State = a.State
		rec.Answer = a
	}
}
