package budgeter

import "time"

// State says what a connection holds its reservation for.
type State int

// The states of a reservation. A complete request is evicted only if it waits.
const (
	// Receiving is the state of a connection without a whole request; a new connection is in it before its first byte.
	Receiving State = iota
	// Complete is the state while a request that was received in full is handled.
	Complete
	// Idle is the state between two requests.
	Idle
	// Ended is the state after the end of a connection, and after its eviction.
	Ended
)

// Config holds the limits of a process.
type Config struct {
	// Bytes bounds what all requests hold together.
	Bytes int64
	// StallTime is how long a request may make no progress.
	StallTime time.Duration
	// WaitTime is how long a complete request may wait before it gives way to a new connection.
	WaitTime time.Duration
	// Listeners are the limits of each listener.
	Listeners []Listener
}

// Listener holds the limits of the connections of one listener.
type Listener struct {
	// Connections bounds the connections that are open at the same time.
	Connections int
	// RequestBytes bounds what one request holds; 0 where only Config.Bytes does.
	RequestBytes int64
	// RequestTime bounds the time in which a whole request arrives.
	RequestTime time.Duration
}

// Reservation is the share of one connection.
type Reservation struct {
	// Owner is what the caller opened the reservation with.
	Owner any

	listener *listener
	state    State
	bytes    int64
	// since is when the state began, and progressAt when the last byte arrived.
	since, progressAt time.Time
	// queue is the one that the reservation is in; nil in a state in which it is not evicted.
	queue      *queue
	prev, next *Reservation
}

// State returns the state of the reservation.
func (r *Reservation) State() State { return r.state }

// Bytes returns what the reservation holds.
func (r *Reservation) Bytes() int64 { return r.bytes }

// listener holds the connections of one listener: the receiving ones with the oldest request first, the idle ones with that first
// which has been idle for longest, and of the complete ones those that wait, with that first which has waited for longest.
type listener struct {
	limits                   Listener
	connections              int
	receiving, idle, waiting queue
}

// Budget is what a process holds for its connections.
type Budget struct {
	cfg       Config
	used      int64
	listeners []*listener
}

// New returns an empty budget.
func New(cfg Config) *Budget {
	b := &Budget{cfg: cfg}
	for _, limits := range cfg.Listeners {
		b.listeners = append(b.listeners, &listener{limits: limits})
	}
	return b
}

// Used returns the bytes that all reservations hold.
func (b *Budget) Used() int64 { return b.used }

// Connections returns the number of open connections of a listener.
func (b *Budget) Connections(listenerIndex int) int { return b.listeners[listenerIndex].connections }

// Open adds a connection to a listener, given by its index in Config.Listeners. Where the listener is at its limit, Open evicts
// another connection; it returns nil where there is none to evict.
func (b *Budget) Open(now time.Time, listenerIndex int, owner any) (r, evicted *Reservation) {
	l := b.listeners[listenerIndex]
	if l.connections >= l.limits.Connections {
		if evicted = l.victim(now.Add(-b.cfg.WaitTime)); evicted == nil {
			return nil, nil
		}
		b.End(evicted)
	}
	l.connections++
	r = &Reservation{Owner: owner, listener: l}
	b.enter(now, r, Receiving, &l.receiving)
	return r, evicted
}

// victim returns the connection that gives way to a new one: the request that has been incomplete for longest, or else the
// connection that has been idle for longest, or else the request that has waited for longest, if it has since a given time. The
// first can be refused with a true answer. The client of the second may just be sending its next request, which would end without
// an answer. The third loses work, but ordinary requests have been answered by then.
func (l *listener) victim(waitingSince time.Time) *Reservation {
	switch {
	case l.receiving.first != nil:
		return l.receiving.first
	case l.idle.first != nil:
		return l.idle.first
	case l.waiting.first != nil && !l.waiting.first.since.After(waitingSince):
		return l.waiting.first
	}
	return nil
}

// Progress notes that bytes of a request have arrived. The first ones begin a request on an idle connection.
func (b *Budget) Progress(now time.Time, r *Reservation) {
	if r.state == Idle {
		b.enter(now, r, Receiving, &r.listener.receiving)
	}
	r.progressAt = now
}

// Grow adds bytes to what a request holds. It evicts the requests that have been incomplete for longest until all fit, and then
// requests that wait and hold more, the largest first, and returns them. It reports false where the request itself must be refused;
// a receiving one has then ended.
func (b *Budget) Grow(r *Reservation, bytes int64) (evicted []*Reservation, ok bool) {
	limit := r.listener.limits.RequestBytes
	if r.state == Ended {
		return nil, false
	}
	if limit > 0 && r.bytes+bytes > limit {
		b.refuse(r)
		return nil, false
	}
	if evicted, ok = b.makeRoom(r, bytes); !ok {
		b.refuse(r)
		return evicted, false
	}
	r.bytes += bytes
	b.used += bytes
	return evicted, true
}

// Hold changes what a complete request holds until its answer, as its decoded form may be larger than what was received. It evicts
// as Grow does, and reports false, changing nothing, where the bytes do not fit. The limit on one request does not apply: the
// request was within it when it was received.
func (b *Budget) Hold(r *Reservation, change int64) (evicted []*Reservation, ok bool) {
	if r.state != Complete {
		return nil, false
	}
	if evicted, ok = b.makeRoom(r, change); !ok {
		return evicted, false
	}
	change = max(change, -r.bytes)
	b.used += change
	r.bytes += change
	return evicted, true
}

// makeRoom evicts requests until a request may hold further bytes, and reports whether it may.
func (b *Budget) makeRoom(r *Reservation, bytes int64) (evicted []*Reservation, ok bool) {
	for bytes > 0 && b.used+bytes > b.cfg.Bytes {
		v := b.oldestHolding()
		if v == nil || v == r {
			v = b.largestWaiting(r.bytes + bytes)
		}
		if v == nil {
			return evicted, false
		}
		b.End(v)
		evicted = append(evicted, v)
	}
	return evicted, true
}

// refuse ends a request that does not fit. A complete one goes on with what it holds.
func (b *Budget) refuse(r *Reservation) {
	if r.state != Complete {
		b.End(r)
	}
}

// oldestHolding returns the request that has been incomplete for longest of those that hold bytes.
func (b *Budget) oldestHolding() (oldest *Reservation) {
	for _, l := range b.listeners {
		r := l.receiving.first
		for r != nil && r.bytes == 0 {
			r = r.next
		}
		if r != nil && (oldest == nil || r.since.Before(oldest.since)) {
			oldest = r
		}
	}
	return oldest
}

// largestWaiting returns the request that holds the most of those that wait and hold more than some bytes.
func (b *Budget) largestWaiting(moreThan int64) (largest *Reservation) {
	for _, l := range b.listeners {
		for r := l.waiting.first; r != nil; r = r.next {
			if r.bytes > moreThan {
				largest, moreThan = r, r.bytes
			}
		}
	}
	return largest
}

// Shrink returns bytes that a request no longer holds.
func (b *Budget) Shrink(r *Reservation, bytes int64) {
	bytes = min(bytes, r.bytes)
	r.bytes -= bytes
	b.used -= bytes
}

// Finish notes that a request was received in full, which protects it from eviction. It reports false for one that has been
// evicted, which must not be handled.
func (b *Budget) Finish(now time.Time, r *Reservation) bool {
	if r.state == Ended {
		return false
	}
	b.enter(now, r, Complete, nil)
	return true
}

// Wait notes that a complete request waits, and that its handler can be interrupted.
func (b *Budget) Wait(now time.Time, r *Reservation) {
	if r.state == Complete {
		b.enter(now, r, Complete, &r.listener.waiting)
	}
}

// Rest notes that a connection is between two requests, and so holds nothing.
func (b *Budget) Rest(now time.Time, r *Reservation) {
	if r.state == Ended {
		return
	}
	b.Shrink(r, r.bytes)
	b.enter(now, r, Idle, &r.listener.idle)
}

// End removes a connection. Ending it again has no effect.
func (b *Budget) End(r *Reservation) {
	if r.state == Ended {
		return
	}
	b.Shrink(r, r.bytes)
	r.listener.connections--
	b.enter(time.Time{}, r, Ended, nil)
}

// Expire ends the requests that have made no progress for too long or have taken too long as a whole, and returns them.
func (b *Budget) Expire(now time.Time) (expired []*Reservation) {
	for _, l := range b.listeners {
		for r := l.receiving.first; r != nil; {
			next := r.next
			if now.Sub(r.progressAt) >= b.cfg.StallTime || now.Sub(r.since) >= l.limits.RequestTime {
				b.End(r)
				expired = append(expired, r)
			}
			r = next
		}
	}
	return expired
}

// enter moves a reservation to a state and to the queue of that state.
func (b *Budget) enter(now time.Time, r *Reservation, s State, q *queue) {
	if r.queue != nil {
		r.queue.remove(r)
	}
	r.state, r.since, r.progressAt, r.queue = s, now, now, q
	if q != nil {
		q.append(r)
	}
}

// queue is a linked list of reservations, so that each leaves it at a constant cost.
type queue struct{ first, last *Reservation }

func (q *queue) append(r *Reservation) {
	r.prev, r.next = q.last, nil
	if q.last == nil {
		q.first = r
	} else {
		q.last.next = r
	}
	q.last = r
}

func (q *queue) remove(r *Reservation) {
	if r.prev == nil {
		q.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		q.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}
