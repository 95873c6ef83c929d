package acceptor

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"clementineyard/internal/budgeter"
)

const (
	// sweepInterval is the interval at which stalled requests are looked for.
	sweepInterval = 500 * time.Millisecond
	// logInterval is the least time between two log lines, as clients decide how often something is closed.
	logInterval = 10 * time.Second
	// refusalTimeout bounds the write of a refusal, which fits into an empty send buffer.
	refusalTimeout = 5 * time.Millisecond
)

// refusal answers a request that was evicted before it was received in full, so that nothing of it has run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Config holds the parameters of an Acceptor.
type Config struct {
	Limits Limits
	Log    *slog.Logger
	// Count adds delta to the counter with the given name.
	Count func(name string, delta int64)
}

// Acceptor holds the budget of a process. It is safe for concurrent use.
type Acceptor struct {
	cfg Config
	// decoding is held while a large body is decoded: its decoded form may be many times larger.
	decoding sync.Mutex

	mu     sync.Mutex
	budget *budgeter.Budget
	// closed counts what was refused, evicted or stalled since the last log line, at loggedAt.
	closed   [reasonCount]int64
	loggedAt time.Time
}

// reason is why a connection was closed.
type reason int

const (
	reasonRefused reason = iota
	reasonEvicted
	reasonStalled
	reasonCount
)

// counterNames are the names of the counters by reason.
var counterNames = [reasonCount]string{"connectionsRefused", "requestsEvicted", "requestsStalled"}

// New returns an Acceptor. Run must be called for stalled requests to be closed.
func New(cfg Config) *Acceptor {
	return &Acceptor{cfg: cfg, budget: budgeter.New(cfg.Limits.budget())}
}

// Run closes stalled requests until the context ends.
func (a *Acceptor) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		a.mu.Lock()
		expired := a.budget.Expire(now)
		a.mu.Unlock()
		a.evict(expired, reasonStalled)
		a.logClosed(now)
	}
}

// logClosed logs how many connections were closed since the last line, at most once in logInterval.
func (a *Acceptor) logClosed(now time.Time) {
	a.mu.Lock()
	closed, used := a.closed, a.budget.Used()
	due := closed != [reasonCount]int64{} && now.Sub(a.loggedAt) >= logInterval
	if due {
		a.closed, a.loggedAt = [reasonCount]int64{}, now
	}
	a.mu.Unlock()
	if due {
		a.cfg.Log.Warn("Process closed connections to stay within its budget for requests.", "refused", closed[reasonRefused],
			"evicted", closed[reasonEvicted], "stalled", closed[reasonStalled], "bytesHeld", used, "bytesAllowed", a.cfg.Limits.Bytes)
	}
}

// note counts closed connections.
func (a *Acceptor) note(why reason, n int) {
	if n == 0 {
		return
	}
	a.mu.Lock()
	a.closed[why] += int64(n)
	a.mu.Unlock()
	a.cfg.Count(counterNames[why], int64(n))
}

// evict closes connections whose reservations the budget has ended.
func (a *Acceptor) evict(reservations []*budgeter.Reservation, why reason) {
	a.note(why, len(reservations))
	for _, r := range reservations {
		r.Owner.(*Conn).evict()
	}
}

// Decode calls decode for a body of the given size. Large bodies are decoded one at a time.
func (a *Acceptor) Decode(bodyBytes int, decode func()) {
	const largeBytes = 16 << 10
	if a != nil && bodyBytes > largeBytes {
		a.decoding.Lock()
		defer a.decoding.Unlock()
	}
	decode()
}

// Listen returns a listener that admits connections under the limits of kind. Connections beyond them are closed rather than
// left in the backlog, where the kernel would hold what they send.
func (a *Acceptor) Listen(ln net.Listener, kind Kind) net.Listener {
	if t, ok := ln.(interface{ SyscallConn() (rawConn, error) }); ok {
		buffer := 0
		// The connections of peers have large messages, and at most maxPeerBytes are read of an unknown one.
		if kind != Peers {
			buffer = a.cfg.Limits.Buffer
		}
		limitQueues(t, buffer, max(a.cfg.Limits.Connections[kind], minBacklog))
	}
	return &listener{Listener: ln, acceptor: a, kind: kind}
}

// listener admits connections of one kind.
type listener struct {
	net.Listener
	acceptor *Acceptor
	kind     Kind
}

// Accept returns the next connection that the budget admits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.acceptor.admit(accepted, l.kind); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// admit returns nil where the connection must be refused.
func (a *Acceptor) admit(accepted net.Conn, kind Kind) *Conn {
	c := &Conn{Conn: accepted, acceptor: a, answersHTTP: kind != Peers}
	a.mu.Lock()
	r, evicted := a.budget.Open(time.Now(), int(kind), c)
	c.reservation = r
	a.mu.Unlock()
	if evicted != nil {
		a.evict([]*budgeter.Reservation{evicted}, reasonEvicted)
	}
	if r == nil {
		a.note(reasonRefused, 1)
		return nil
	}
	return c
}
