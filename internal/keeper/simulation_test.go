package keeper

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"clementineyard/internal/elector"
	"clementineyard/internal/messenger"
	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

const (
	simulatedLease         = 900 * time.Millisecond
	simulatedRenewInterval = 150 * time.Millisecond
)

// simulation runs the keepers of one group on a virtual clock and a virtual network, without goroutines.
type simulation struct {
	now           time.Time
	rng           *rand.Rand
	queue         eventHeap
	eventCount    int
	vms           []*simulatedVM
	lossRate      float64
	duplicateRate float64
	maxDelay      time.Duration
	// cutLinks holds the (from, to) pairs of VMs between which all messages are lost.
	cutLinks map[[2]int]bool
	// starts holds the places and times at which each key started, by key.
	starts     map[string][]string
	keys       []recorder.Key
	commits    int
	violations []string
}

// simulatedVM is one process of a group member. A restarted member is a new simulatedVM.
type simulatedVM struct {
	s      *simulation
	index  int
	k      *Keeper
	frozen bool
	down   bool
	owner  bool
}

func newSimulation(seed uint64, members, witnesses int) *simulation {
	s := &simulation{
		now: time.UnixMilli(1_764_846_000_000), rng: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[[2]int]bool{},
		starts: map[string][]string{}, maxDelay: 2 * time.Millisecond,
	}
	for i := range members {
		s.vms = append(s.vms, &simulatedVM{s: s, index: i})
	}
	for i := range s.vms {
		s.startVM(i, witnesses)
	}
	return s
}

func (s *simulation) startVM(i, witnesses int) {
	v := &simulatedVM{s: s, index: i}
	s.vms[i] = v
	var members []elector.Member
	var names []string
	for n := range s.vms {
		members = append(members, elector.Member{Name: fmt.Sprint(n), Witness: n >= len(s.vms)-witnesses})
		names = append(names, fmt.Sprint(n))
	}
	incarnation := uint64(s.now.UnixMilli())
	v.k = New(Config{
		Name: fmt.Sprint(i), Group: "casa-a", Members: names, Incarnation: incarnation,
		Recorder: recorder.New(recorder.Config{Retention: 10 * time.Minute, ClockMargin: 2 * time.Second}),
		Elector: elector.New(elector.Config{
			Name: fmt.Sprint(i), Group: "casa-a", Members: members, Incarnation: incarnation, Started: s.now,
			Lease: simulatedLease, RenewInterval: simulatedRenewInterval, Seed: s.rng.Uint64(),
		}),
		Now: func() time.Time { return s.now }, Lease: simulatedLease, Log: slog.New(slog.DiscardHandler),
		Datagram: v.datagram, Call: v.call, SetOwner: func(owner bool) { v.owner = owner },
	})
	var tick func()
	tick = func() {
		if s.vms[i] != v || v.down {
			return
		}
		if !v.frozen {
			v.k.tick()
			v.drainQueues()
		}
		s.schedule(tickInterval, tick)
	}
	s.schedule(time.Duration(s.rng.IntN(10))*time.Millisecond, tick)
}

func (s *simulation) restart(i, witnesses int) {
	s.vms[i].down = true
	s.startVM(i, witnesses)
}

// drainQueues handles queued work as Run does, until all queues are empty.
func (v *simulatedVM) drainQueues() {
	for !v.frozen && !v.down {
		select {
		case f := <-v.k.events:
			f()
		case f := <-v.k.peerCalls:
			f()
		case m := <-v.k.datagrams:
			v.k.step(m)
		case f := <-v.k.calls:
			f()
		default:
			v.k.sendBatches()
			if len(v.k.events) == 0 {
				return
			}
		}
	}
}

// deliver runs f after a random delay: once, twice or not at all. Delays differ, so messages are reordered.
func (s *simulation) deliver(from, to int, f func()) {
	n := 1
	if s.rng.Float64() < s.duplicateRate {
		n = 2
	}
	for range n {
		if s.cutLinks[[2]int{from, to}] || s.rng.Float64() < s.lossRate {
			continue
		}
		s.schedule(time.Duration(s.rng.Int64N(int64(s.maxDelay))+1), f)
	}
}

func (v *simulatedVM) datagram(m *wire.ElectorMessage) {
	var to int
	_, _ = fmt.Sscan(m.To, &to)
	v.s.deliver(v.index, to, func() {
		t := v.s.vms[to]
		t.k.Datagram(m)
		t.drainQueues()
	})
}

func (v *simulatedVM) call(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
	var to int
	_, _ = fmt.Sscan(peer, &to)
	ended := false
	end := func(r *wire.Envelope, err error) {
		if !ended {
			ended = true
			done(r, err)
			v.drainQueues()
		}
	}
	v.s.schedule(deadline.Sub(v.s.now), func() { end(nil, messenger.ErrNoReply) })
	v.s.deliver(v.index, to, func() {
		t := v.s.vms[to]
		reply := func(r *wire.Envelope) { v.s.deliver(to, v.index, func() { end(r, nil) }) }
		switch b := e.Body.(type) {
		case *wire.Envelope_RecordBatch:
			t.k.HandleBatch(b.RecordBatch, reply)
		case *wire.Envelope_RecordSnapshotRequest:
			t.k.HandleSnapshotRequest(b.RecordSnapshotRequest, reply)
		}
		t.drainQueues()
	})
}

// submit acts as the dispatcher: it records the start of a submission once it is committed, and finishes it later.
func (s *simulation) submit(i int, key recorder.Key) {
	v := s.vms[i]
	v.k.Begin(recorder.Record{Key: key, ContentHash: []byte("same"), Team: "clubs", TaskCount: 3}, func(verdict recorder.Verdict, _ *wire.Answer) {
		if verdict != recorder.VerdictNew {
			return
		}
		v.k.Commit(key, func(ok bool) {
			if !ok || !v.owner || !v.k.HoldsLease() {
				out := &wire.Answer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, State: wire.State_STATE_FAILED, Reason: wire.Reason_REASON_NO_QUORUM}
				v.k.Finish(key, out, func(bool) {})
				return
			}
			s.commits++
			s.starts[key.String()] = append(s.starts[key.String()], fmt.Sprintf("vm %d epoch %d at %s", i, v.k.epoch, s.now.Format("05.000")))
			if n := s.starts[key.String()]; len(n) > 1 {
				s.violations = append(s.violations, key.String()+" started twice: "+strings.Join(n, "; "))
			}
			s.schedule(time.Duration(s.rng.IntN(400))*time.Millisecond, func() {
				v.k.Finish(key, &wire.Answer{Outcome: wire.Outcome_OUTCOME_ANSWERED, State: wire.State_STATE_COMPLETE}, func(bool) {})
				v.drainQueues()
			})
		})
	})
	v.drainQueues()
}

func (s *simulation) newKey() recorder.Key {
	ahead := time.Duration(s.rng.IntN(3000)-1000) * time.Millisecond
	k := recorder.Key{Home: "casa-a", Issued: s.now.Add(ahead).Truncate(time.Millisecond), Random: fmt.Sprintf("%016x", s.rng.Uint64())}
	s.keys = append(s.keys, k)
	return k
}

// submitLoad submits one new key twice and an earlier key once, at random members.
func (s *simulation) submitLoad() {
	key := s.newKey()
	for range 2 {
		s.submit(s.rng.IntN(len(s.vms)), key)
	}
	s.submit(s.rng.IntN(len(s.vms)), s.keys[s.rng.IntN(len(s.keys))])
}

// schedule runs f after d of virtual time.
func (s *simulation) schedule(d time.Duration, f func()) {
	s.eventCount++
	heap.Push(&s.queue, event{at: s.now.Add(max(d, 0)), order: s.eventCount, run: f})
}

// run advances the clock by d, submits load every 10 ms and checks the leases after each event.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for t := time.Duration(0); t < d; t += 10 * time.Millisecond {
		s.schedule(t, s.submitLoad)
	}
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
		s.checkLeases()
	}
	s.now = end
}

// checkLeases records a violation if two members, frozen ones included, hold a valid lease.
func (s *simulation) checkLeases() {
	var held []string
	for _, v := range s.vms {
		if !v.down && v.k.cfg.Elector.Ownership(s.now).HeldHere {
			held = append(held, fmt.Sprintf("vm %d epoch %d", v.index, v.k.cfg.Elector.Ownership(s.now).Epoch))
		}
	}
	if len(held) > 1 {
		s.violations = append(s.violations, "two owners at "+s.now.Format("05.000")+": "+strings.Join(held, "; "))
	}
}

// heal ends all faults.
func (s *simulation) heal() {
	s.lossRate, s.duplicateRate, s.maxDelay, s.cutLinks = 0, 0, 2*time.Millisecond, map[[2]int]bool{}
	for _, v := range s.vms {
		v.frozen = false
	}
}

// ownerIndex returns the index of the member that holds the lease, or -1.
func (s *simulation) ownerIndex() int {
	for _, v := range s.vms {
		if v.k.HoldsLease() {
			return v.index
		}
	}
	return -1
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
