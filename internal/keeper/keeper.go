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
	ringSize     = 4096
	datagramRing = 1024
	peerRing     = 1024
	// eventRing holds the ends of calls. At most one batch and one snapshot chunk are under way for each member, so it
	// never fills.
	eventRing = 1024
	// drainSlice bounds the calls handled between two looks at the other rings.
	drainSlice = 256
	tickEvery  = 10 * time.Millisecond
	// commitLimit is how long a record may wait for its majority. A caller is refused within 300 ms.
	commitLimit = 250 * time.Millisecond
)

// Config constructs a Keeper.
type Config struct {
	Name  string
	Group string
	// Members are all members of the group, the own VM included when it is one.
	Members     []string
	Incarnation uint64
	Recorder    *recorder.Recorder
	Elector     *elector.Elector
	Now         func() time.Time
	// Datagram sends an elector's message.
	Datagram func(*wire.ElectorMessage)
	// Call sends a request to a member. done runs once, on any goroutine.
	Call func(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	// Lease bounds the wait for the next chunk of record snapshots at a takeover.
	Lease time.Duration
	// SetOwner reports gained and lost ownership on the keeper's thread; nil on witnesses.
	SetOwner func(owner bool)
	Log      *slog.Logger
}

type phase int

const (
	// idle: another member owns the failure domain, or none does.
	idle phase = iota
	// takingOver: elected, and collecting the records of the other members.
	takingOver
	// active: the records are merged; submissions are accepted.
	active
)

// Published is what other threads may know of a keeper.
type Published struct {
	elector.Ownership
	// Active is true on the owner once it has taken the records over.
	Active bool
	// Floor is the issue time below which an unknown key is refused.
	Floor time.Time
}

// Keeper is the thread that owns one group's records.
type Keeper struct {
	cfg       Config
	ring      chan func()
	peers     chan func()
	events    chan func()
	datagrams chan *wire.ElectorMessage
	published atomic.Pointer[Published]

	phase phase
	epoch uint64
	// complete means that this member holds every record that it has acknowledged since the group began.
	complete bool
	// members are the others, in the order of the settings.
	members  []*member
	takeover *takeover
	// waits lists the records that wait for their majority, by deadline.
	waits       []*item
	resigning   bool
	resignUntil time.Time
	lastOwner   elector.Ownership
}

// New returns a Keeper; Run starts it.
func New(cfg Config) *Keeper {
	k := &Keeper{
		cfg: cfg, ring: make(chan func(), ringSize), peers: make(chan func(), peerRing),
		events: make(chan func(), eventRing), datagrams: make(chan *wire.ElectorMessage, datagramRing),
	}
	for _, m := range cfg.Members {
		if m != cfg.Name {
			k.members = append(k.members, &member{name: m})
		}
	}
	k.published.Store(&Published{})
	return k
}

// Run handles the rings until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-k.events:
			f()
		case f := <-k.peers:
			f()
		case m := <-k.datagrams:
			k.step(m)
		case f := <-k.ring:
			f()
			k.drain()
		case <-t.C:
			k.tick()
		}
		k.flush()
	}
}

// drain handles the calls that are already there, so that they share a batch.
func (k *Keeper) drain() {
	for range drainSlice {
		select {
		case f := <-k.ring:
			f()
		default:
			return
		}
	}
}

// Published returns what the keeper last made known. It is safe for concurrent use.
func (k *Keeper) Published() Published { return *k.published.Load() }

// Held reports whether this VM owns the domain and its lease has not ended. The dispatcher asks before each start: a
// process that was frozen resumes with an old answer of everything else. It is safe for concurrent use.
func (k *Keeper) Held() bool {
	p := k.published.Load()
	return p.Active && k.cfg.Now().Before(p.Until)
}

// Begin looks a submission up and adds a pending record when it is new. It reports false when the ring is full.
// done runs on the keeper's thread and must not block; the same holds for the other calls.
func (k *Keeper) Begin(rec recorder.Record, done func(recorder.Verdict, *wire.Answer)) bool {
	return k.try(func() {
		now := k.cfg.Now()
		if !k.mayServe(now) {
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

func (k *Keeper) mayServe(now time.Time) bool {
	k.update(now)
	return k.phase == active && !k.resigning
}

// Abandon drops a pending record.
func (k *Keeper) Abandon(key recorder.Key) bool {
	return k.try(func() { k.cfg.Recorder.Abandon(key) })
}

// Commit replicates a pending record; done learns whether a majority acknowledged it. Without that the submission must
// never start.
func (k *Keeper) Commit(key recorder.Key, done func(ok bool)) bool {
	return k.try(func() {
		now := k.cfg.Now()
		k.update(now)
		rec := k.cfg.Recorder.Get(key)
		if k.phase != active || rec == nil || !k.cfg.Recorder.Pending(key) || rec.Epoch != k.epoch {
			done(false)
			return
		}
		k.replicate(now, *rec, true, done)
	})
}

// Finish stores and replicates the final answer; done learns whether a majority acknowledged it.
//
// The caller gets the answer in either case, because it is true. Without a majority a later owner may not know it and
// answer a resubmission with ownerLost, but it never starts the submission again.
func (k *Keeper) Finish(key recorder.Key, a *wire.Answer, done func(ok bool)) bool {
	return k.try(func() {
		now := k.cfg.Now()
		k.update(now)
		if k.cfg.Recorder.Pending(key) && refusedBeforeStart(a) {
			// The record never had its majority, so nothing of it started; a resubmission is a new attempt.
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

func refusedBeforeStart(a *wire.Answer) bool {
	return a.Outcome == wire.Outcome_OUTCOME_NOT_RUN &&
		(a.Reason == wire.Reason_REASON_NO_QUORUM || a.Reason == wire.Reason_REASON_NOT_OWNER)
}

// Lookup tells what is known of a key: a running or finished record, or the verdict that refuses the key. VerdictNew
// means that the key is unknown.
func (k *Keeper) Lookup(key recorder.Key, done func(recorder.Verdict, *wire.Answer)) bool {
	return k.try(func() {
		now := k.cfg.Now()
		if !k.mayServe(now) {
			done(recorder.VerdictNotOwner, nil)
			return
		}
		v, a := k.cfg.Recorder.Lookup(now, key)
		done(v, a)
	})
}

// Resign hands the ownership over for a planned stop: no more keyed work is accepted, the waiting records get a last
// chance, then the group is told to elect.
func (k *Keeper) Resign() bool {
	return k.try(func() {
		k.resigning = true
		k.resignUntil = k.cfg.Now().Add(commitLimit)
	})
}

// Datagram hands over an elector's message; it is dropped when the ring is full.
func (k *Keeper) Datagram(m *wire.ElectorMessage) {
	select {
	case k.datagrams <- m:
	default:
	}
}

func (k *Keeper) try(f func()) bool {
	select {
	case k.ring <- f:
		return true
	default:
		return false
	}
}

func (k *Keeper) step(m *wire.ElectorMessage) {
	now := k.cfg.Now()
	k.send(k.cfg.Elector.Step(now, m))
	k.update(now)
}

func (k *Keeper) send(out []*wire.ElectorMessage) {
	for _, m := range out {
		k.cfg.Datagram(m)
	}
}

func (k *Keeper) tick() {
	now := k.cfg.Now()
	k.send(k.cfg.Elector.Tick(now))
	k.update(now)
	k.resignIfIdle(now)
	k.expireWaits(now)
	k.pursueTakeover(now)
	k.cfg.Recorder.Forget(now)
}

func (k *Keeper) resignIfIdle(now time.Time) {
	if !k.resigning || k.resignUntil.IsZero() || (len(k.waits) > 0 && now.Before(k.resignUntil)) {
		return
	}
	k.resignUntil = time.Time{}
	k.send(k.cfg.Elector.Resign(now))
	k.update(now)
}
