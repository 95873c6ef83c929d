package keeper

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"clementineyard/internal/elector"
	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

const (
	callQueueCapacity     = 4096
	datagramQueueCapacity = 1024
	peerQueueCapacity     = 1024
	// eventQueueCapacity is the capacity of the queue for replies of members. At most one batch and one snapshot chunk
	// are in flight for each member, so the queue never fills.
	eventQueueCapacity = 1024
	// maxCallsPerIteration bounds the calls handled before the other queues are polled again.
	maxCallsPerIteration = 256
	tickInterval         = 10 * time.Millisecond
	// commitTimeout is how long a record may wait for a majority. A caller is refused within 300 ms.
	commitTimeout = 250 * time.Millisecond
)

// Config holds the parameters of a Keeper.
type Config struct {
	Name  string
	Group string
	// Members are the names of all members of the group, including this VM if it is one.
	Members     []string
	Incarnation uint64
	Recorder    *recorder.Recorder
	Elector     *elector.Elector
	Now         func() time.Time
	// Datagram sends a message of the elector to another member. It may be lost.
	Datagram func(*wire.ElectorMessage)
	// Call sends a request to a member. It calls done once, on any goroutine.
	Call func(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	// Lease bounds the wait for the next snapshot chunk during a takeover.
	Lease time.Duration
	// SetOwner is called on the keeper's goroutine when ownership is gained or lost. It is nil on witnesses.
	SetOwner func(owner bool)
	Log      *slog.Logger
}

// phase is the state of this member's ownership.
type phase int

const (
	// notOwner: this member does not own the failure domain.
	notOwner phase = iota
	// takingOver: this member is elected and collects the records of the other members.
	takingOver
	// active: the records are merged and submissions are accepted.
	active
)

// State is the state of a Keeper that other goroutines may read.
type State struct {
	elector.Ownership
	// Active is true on the owner once the takeover of the records has ended.
	Active bool
	// Floor is the issue time before which a key without a record is refused. It is zero while no floor is known.
	Floor time.Time
}

// Keeper replicates one group's records. Its state belongs to the goroutine of Run.
type Keeper struct {
	cfg       Config
	calls     chan func()
	peerCalls chan func()
	events    chan func()
	datagrams chan *wire.ElectorMessage
	published atomic.Pointer[State]

	phase phase
	epoch uint64
	// complete is true when this member holds every record that it has acknowledged since the group was created.
	complete bool
	// members are the other members, in the order of the settings.
	members  []*member
	takeover *takeover
	// replications lists the records that wait for a majority, ordered by deadline.
	replications   []*replication
	resigning      bool
	resignDeadline time.Time
	lastOwnership  elector.Ownership
}

// New returns a Keeper. It handles nothing before Run is called.
func New(cfg Config) *Keeper {
	k := &Keeper{
		cfg: cfg, calls: make(chan func(), callQueueCapacity), peerCalls: make(chan func(), peerQueueCapacity),
		events: make(chan func(), eventQueueCapacity), datagrams: make(chan *wire.ElectorMessage, datagramQueueCapacity),
	}
	for _, m := range cfg.Members {
		if m != cfg.Name {
			k.members = append(k.members, &member{name: m})
		}
	}
	k.published.Store(&State{})
	return k
}

// Run handles calls, messages and timers until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-k.events:
			f()
		case f := <-k.peerCalls:
			f()
		case m := <-k.datagrams:
			k.step(m)
		case f := <-k.calls:
			f()
			k.handleQueuedCalls()
		case <-t.C:
			k.tick()
		}
		k.sendBatches()
	}
}

// handleQueuedCalls handles calls that are already queued, so that their records share a batch.
func (k *Keeper) handleQueuedCalls() {
	for range maxCallsPerIteration {
		select {
		case f := <-k.calls:
			f()
		default:
			return
		}
	}
}

// State returns the last published state. It is safe for concurrent use.
func (k *Keeper) State() State { return *k.published.Load() }

// HoldsLease reports whether this VM owns the failure domain and its lease has not expired. The dispatcher calls it
// before each start: after a pause of the process, all other state may be stale. It is safe for concurrent use.
func (k *Keeper) HoldsLease() bool {
	p := k.published.Load()
	return p.Active && k.cfg.Now().Before(p.LeaseEnd)
}

// Begin looks up the record of a submission and adds a pending record if there is none. It reports false when the call
// queue is full. done runs on the keeper's goroutine and must not block. Both hold for the other calls too.
func (k *Keeper) Begin(rec recorder.Record, done func(recorder.Verdict, *wire.Answer)) bool {
	return k.enqueue(func() {
		now := k.cfg.Now()
		if !k.acceptsKeys(now) {
			done(recorder.VerdictNotOwner, nil)
			return
		}
		rec.Epoch = k.epoch
		r, v := k.cfg.Recorder.Begin(now, rec)
		if r == nil {
			done(v, nil)
			return
		}
		done(v, r.Answer)
	})
}

// acceptsKeys reports whether this member is the active owner and not resigning.
func (k *Keeper) acceptsKeys(now time.Time) bool {
	k.syncOwnership(now)
	return k.phase == active && !k.resigning
}

// Abandon drops a pending record of a submission that was refused.
func (k *Keeper) Abandon(key recorder.Key) bool {
	return k.enqueue(func() { k.cfg.Recorder.Abandon(key) })
}

// Commit replicates a pending record and calls done with whether a majority acknowledged it. Otherwise the submission
// must never start.
func (k *Keeper) Commit(key recorder.Key, done func(ok bool)) bool {
	return k.enqueue(func() {
		now := k.cfg.Now()
		k.syncOwnership(now)
		rec := k.cfg.Recorder.Get(key)
		if k.phase != active || rec == nil || !k.cfg.Recorder.Pending(key) || rec.Epoch != k.epoch {
			done(false)
			return
		}
		k.replicate(now, *rec, true, done)
	})
}

// Finish stores and replicates the final answer and calls done with whether a majority acknowledged it.
//
// The caller may get the answer in either case, because it is true. Without a majority a later owner may not have it
// and may answer a resubmission with ownerLost, but it never starts the submission again.
func (k *Keeper) Finish(key recorder.Key, a *wire.Answer, done func(ok bool)) bool {
	return k.enqueue(func() {
		now := k.cfg.Now()
		k.syncOwnership(now)
		if k.cfg.Recorder.Pending(key) && refusedBeforeStart(a) {
			// No majority acknowledged the record, so none of its tasks started; a resubmission is a new attempt.
			k.cfg.Recorder.Abandon(key)
			done(true)
			return
		}
		if !k.cfg.Recorder.Finish(now, key, a) || k.phase != active {
			done(false)
			return
		}
		k.replicate(now, *k.cfg.Recorder.Get(key), false, done)
	})
}

// refusedBeforeStart reports whether a answers a submission none of whose tasks was released.
func refusedBeforeStart(a *wire.Answer) bool {
	return a.Outcome == wire.Outcome_OUTCOME_NOT_RUN &&
		(a.Reason == wire.Reason_REASON_NO_QUORUM || a.Reason == wire.Reason_REASON_NOT_OWNER)
}

// Lookup calls done with the verdict on a key, and with the answer if its submission has ended. VerdictNew means that
// the key is unknown.
func (k *Keeper) Lookup(key recorder.Key, done func(recorder.Verdict, *wire.Answer)) bool {
	return k.enqueue(func() {
		now := k.cfg.Now()
		if !k.acceptsKeys(now) {
			done(recorder.VerdictNotOwner, nil)
			return
		}
		v, a := k.cfg.Recorder.Lookup(now, key)
		done(v, a)
	})
}

// Resign hands the ownership over for a planned stop: it accepts no more submissions with a key, waits until the
// records that await a majority are done or commitTimeout has passed, then asks the group to elect another owner.
func (k *Keeper) Resign() bool {
	return k.enqueue(func() {
		k.resigning = true
		k.resignDeadline = k.cfg.Now().Add(commitTimeout)
	})
}

// Datagram queues a message of another member's elector. It is dropped when the queue is full.
func (k *Keeper) Datagram(m *wire.ElectorMessage) {
	select {
	case k.datagrams <- m:
	default:
	}
}

func (k *Keeper) enqueue(f func()) bool {
	select {
	case k.calls <- f:
		return true
	default:
		return false
	}
}

func (k *Keeper) step(m *wire.ElectorMessage) {
	now := k.cfg.Now()
	k.send(k.cfg.Elector.Step(now, m))
	k.syncOwnership(now)
}

func (k *Keeper) send(out []*wire.ElectorMessage) {
	for _, m := range out {
		k.cfg.Datagram(m)
	}
}

func (k *Keeper) tick() {
	now := k.cfg.Now()
	k.send(k.cfg.Elector.Tick(now))
	k.syncOwnership(now)
	k.resignWhenDrained(now)
	k.expireReplications(now)
	k.advanceTakeover(now)
	k.cfg.Recorder.DropExpired(now)
}

func (k *Keeper) resignWhenDrained(now time.Time) {
	if !k.resigning || k.resignDeadline.IsZero() || (len(k.replications) > 0 && now.Before(k.resignDeadline)) {
		return
	}
	k.resignDeadline = time.Time{}
	k.send(k.cfg.Elector.Resign(now))
	k.syncOwnership(now)
}
