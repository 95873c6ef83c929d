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
	simLease = 900 * time.Millisecond
	simRenew = 150 * time.Millisecond
)

// simulation runs the keepers of one group on one virtual clock and one virtual network, without goroutines.
type simulation struct {
	now     time.Time
	rng     *rand.Rand
	queue   eventHeap
	order   int
	vms     []*simVM
	loss    float64
	repeat  float64
	delay   time.Duration
	cut     map[[2]int]bool
	starts  map[string][]string
	keys    []recorder.Key
	commits int
	faults  []string
}

type simVM struct {
	s      *simulation
	index  int
	k      *Keeper
	frozen bool
	down   bool
	owner  bool
}

func newSimulation(seed uint64, members, witnesses int) *simulation {
	s := &simulation{
		now: time.UnixMilli(1_764_846_000_000), rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{},
		starts: map[string][]string{}, delay: 2 * time.Millisecond,
	}
	for i := range members {
		s.vms = append(s.vms, &simVM{s: s, index: i})
	}
	for i := range s.vms {
		s.boot(i, witnesses)
	}
	return s
}

func (s *simulation) boot(i, witnesses int) {
	v := &simVM{s: s, index: i}
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
			Lease: simLease, Renew: simRenew, Seed: s.rng.Uint64(),
		}),
		Now: func() time.Time { return s.now }, Lease: simLease, Log: slog.New(slog.DiscardHandler),
		Datagram: v.datagram, Call: v.call, SetOwner: func(owner bool) { v.owner = owner },
	})
	var tick func()
	tick = func() {
		if s.vms[i] != v || v.down {
			return
		}
		if !v.frozen {
			v.k.tick()
			v.pump()
		}
		s.at(tickEvery, tick)
	}
	s.at(time.Duration(s.rng.IntN(10))*time.Millisecond, tick)
}

func (s *simulation) restart(i, witnesses int) {
	s.vms[i].down = true
	s.boot(i, witnesses)
}

// pump does what Run does, until nothing is left.
func (v *simVM) pump() {
	for !v.frozen && !v.down {
		select {
		case f := <-v.k.events:
			f()
		case f := <-v.k.peers:
			f()
		case m := <-v.k.datagrams:
			v.k.step(m)
		case f := <-v.k.ring:
			f()
		default:
			v.k.flush()
			if len(v.k.events) == 0 {
				return
			}
		}
	}
}

// carry delivers f with a random delay, perhaps never, perhaps twice. Delays differ, so messages are reordered.
func (s *simulation) carry(from, to int, f func()) {
	n := 1
	if s.rng.Float64() < s.repeat {
		n = 2
	}
	for range n {
		if s.cut[[2]int{from, to}] || s.rng.Float64() < s.loss {
			continue
		}
		s.at(time.Duration(s.rng.Int64N(int64(s.delay))+1), f)
	}
}

func (v *simVM) datagram(m *wire.ElectorMessage) {
	var to int
	_, _ = fmt.Sscan(m.To, &to)
	v.s.carry(v.index, to, func() {
		t := v.s.vms[to]
		t.k.Datagram(m)
		t.pump()
	})
}

func (v *simVM) call(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
	var to int
	_, _ = fmt.Sscan(peer, &to)
	over := false
	end := func(r *wire.Envelope, err error) {
		if !over {
			over = true
			done(r, err)
			v.pump()
		}
	}
	v.s.at(deadline.Sub(v.s.now), func() { end(nil, messenger.ErrLost) })
	v.s.carry(v.index, to, func() {
		t := v.s.vms[to]
		reply := func(r *wire.Envelope) { v.s.carry(to, v.index, func() { end(r, nil) }) }
		switch b := e.Body.(type) {
		case *wire.Envelope_RecordBatch:
			t.k.HandleBatch(b.RecordBatch, reply)
		case *wire.Envelope_RecordSnapshotRequest:
			t.k.HandleSnapshotRequest(b.RecordSnapshotRequest, reply)
		}
		t.pump()
	})
}

// submit plays the dispatcher: it starts a submission once it is committed, and finishes it later.
func (s *simulation) submit(i int, key recorder.Key) {
	v := s.vms[i]
	v.k.Begin(recorder.Record{Key: key, ContentHash: []byte("same"), Team: "clubs", TaskCount: 3}, func(verdict recorder.Verdict, _ *wire.Answer) {
		if verdict != recorder.VerdictNew {
			return
		}
		v.k.Commit(key, func(ok bool) {
			if !ok || !v.owner || !v.k.Held() {
				out := &wire.Answer{Outcome: wire.Outcome_OUTCOME_NOT_RUN, State: wire.State_STATE_FAILED, Reason: wire.Reason_REASON_NO_QUORUM}
				v.k.Finish(key, out, func(bool) {})
				return
			}
			s.commits++
			s.starts[key.String()] = append(s.starts[key.String()], fmt.Sprintf("vm %d epoch %d at %s", i, v.k.epoch, s.now.Format("05.000")))
			if n := s.starts[key.String()]; len(n) > 1 {
				s.faults = append(s.faults, key.String()+" started twice: "+strings.Join(n, "; "))
			}
			s.at(time.Duration(s.rng.IntN(400))*time.Millisecond, func() {
				v.k.Finish(key, &wire.Answer{Outcome: wire.Outcome_OUTCOME_ANSWERED, State: wire.State_STATE_COMPLETE}, func(bool) {})
				v.pump()
			})
		})
	})
	v.pump()
}

func (s *simulation) newKey() recorder.Key {
	ahead := time.Duration(s.rng.IntN(3000)-1000) * time.Millisecond
	k := recorder.Key{Home: "casa-a", Issued: s.now.Add(ahead).Truncate(time.Millisecond), Random: fmt.Sprintf("%016x", s.rng.Uint64())}
	s.keys = append(s.keys, k)
	return k
}

// load submits new keys and repeats old ones at random members.
func (s *simulation) load() {
	key := s.newKey()
	for range 2 {
		s.submit(s.rng.IntN(len(s.vms)), key)
	}
	s.submit(s.rng.IntN(len(s.vms)), s.keys[s.rng.IntN(len(s.keys))])
}

func (s *simulation) at(d time.Duration, f func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now.Add(max(d, 0)), order: s.order, run: f})
}

// run advances the clock, submits work every 10 ms and checks after each event.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for t := time.Duration(0); t < d; t += 10 * time.Millisecond {
		s.at(t, s.load)
	}
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
		s.check()
	}
	s.now = end
}

// check guards against two members with a valid lease, frozen ones included.
func (s *simulation) check() {
	var held []string
	for _, v := range s.vms {
		if !v.down && v.k.cfg.Elector.Ownership(s.now).Held {
			held = append(held, fmt.Sprintf("vm %d epoch %d", v.index, v.k.cfg.Elector.Ownership(s.now).Epoch))
		}
	}
	if len(held) > 1 {
		s.faults = append(s.faults, "two owners at "+s.now.Format("05.000")+": "+strings.Join(held, "; "))
	}
}

// heal ends all disturbances.
func (s *simulation) heal() {
	s.loss, s.repeat, s.delay, s.cut = 0, 0, 2*time.Millisecond, map[[2]int]bool{}
	for _, v := range s.vms {
		v.frozen = false
	}
}

func (s *simulation) ownerIndex() int {
	for _, v := range s.vms {
		if v.k.Held() {
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
