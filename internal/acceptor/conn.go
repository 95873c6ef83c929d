package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/internal/budgeter"
)

// ErrEvicted means that a request was evicted or refused by the budget before it was received in full.
var ErrEvicted = eris.New("request evicted by the budget")

// ErrBodyTooLarge means that a body exceeds its limit.
var ErrBodyTooLarge = eris.New("body too large")

const (
	// lineBytes is what a line of a header takes when it is parsed, beyond its bytes: an entry of a map that grows by
	// doubling, a name and a list of one value.
	lineBytes = 128
	// firstBodyBytes is the first size of the buffer of a body.
	firstBodyBytes = 512
	// writeTime bounds one write of an answer. Without it, a client that reads nothing would hold a complete request for ever.
	writeTime = 10 * time.Second
)

// Conn is an admitted connection. It counts what arrives until a request's header is parsed.
type Conn struct {
	net.Conn
	acceptor    *Acceptor
	answersHTTP bool
	// reservation, interrupt, inBody and released are guarded by the mutex of the acceptor.
	reservation *budgeter.Reservation
	// interrupt makes the handler of a request that waits give up; nil while none does.
	interrupt func()
	// inBody is true from the start of a request's handler, which counts the body itself, until the connection is idle.
	inBody bool
	// released is true once the connection is no longer counted as that of an unknown sender.
	released bool

	// writeMu keeps a refusal apart from what the server writes.
	writeMu sync.Mutex
	// answered is true once anything was written for the present request.
	answered bool
	evicted  bool
}

// Read reads from the connection and counts the bytes of headers, with what their lines take when they are parsed.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.receive(b[:n]) {
		return 0, ErrEvicted
	}
	return n, err
}

func (c *Conn) receive(b []byte) bool {
	a := c.acceptor
	a.mu.Lock()
	if c.released {
		a.mu.Unlock()
		return true
	}
	a.budget.Progress(time.Now(), c.reservation)
	if c.inBody || c.reservation.State() == budgeter.Complete {
		a.mu.Unlock()
		return true
	}
	evicted, ok := a.budget.Grow(c.reservation, int64(len(b)+lineBytes*bytes.Count(b, []byte{'\n'})))
	a.mu.Unlock()
	a.evict(evicted, reasonEvicted)
	if !ok {
		c.refuse()
	}
	return ok
}

// refuse answers and closes a connection whose own request does not fit.
func (c *Conn) refuse() {
	c.acceptor.note(reasonRefused, 1)
	c.evict()
}

// evict interrupts the handler of a request that waits, which answers it; rest then closes the connection. Otherwise it answers that
// nothing of the incomplete request has run, unless an answer was begun, and closes the connection.
func (c *Conn) evict() {
	c.acceptor.mu.Lock()
	interrupt := c.interrupt
	c.acceptor.mu.Unlock()
	if interrupt != nil {
		interrupt()
		return
	}
	// A writer that holds the mutex has begun an answer.
	if c.writeMu.TryLock() {
		if !c.evicted && !c.answered && c.answersHTTP {
			if err := c.SetWriteDeadline(time.Now().Add(refusalTimeout)); err == nil {
				_, _ = io.WriteString(c.Conn, refusal)
			}
		}
		c.evicted = true
		c.writeMu.Unlock()
	}
	_ = c.Conn.Close()
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.evicted {
		return 0, ErrEvicted
	}
	c.answered = true
	if c.answersHTTP {
		// A client that does not read its answer blocks the write.
		c.wait(func() { _ = c.Conn.Close() })
		if err := c.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// CloseWrite shuts down the sending side. What the client still sends is discarded by the server, and no longer counted.
func (c *Conn) CloseWrite() error {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	c.acceptor.mu.Lock()
	c.acceptor.budget.Rest(time.Now(), c.reservation)
	c.inBody = true
	c.acceptor.mu.Unlock()
	return t.CloseWrite()
}

// Close closes the connection and returns its share of the budget.
func (c *Conn) Close() error {
	c.Release()
	return c.Conn.Close()
}

// Release ends the accounting for the connection, as its sender is known.
func (c *Conn) Release() {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.acceptor.budget.End(c.reservation)
	c.released = true
}

// rest notes that the connection is between two requests.
func (c *Conn) rest() {
	c.writeMu.Lock()
	c.answered = false
	c.writeMu.Unlock()
	c.acceptor.mu.Lock()
	c.acceptor.budget.Rest(time.Now(), c.reservation)
	c.inBody, c.interrupt = false, nil
	wasEvicted := c.reservation.State() == budgeter.Ended && !c.released
	c.acceptor.mu.Unlock()
	if wasEvicted {
		_ = c.Conn.Close()
	}
}

// wait notes that a complete request waits until its handler ends or is interrupted. It reports false for a request that was evicted.
func (c *Conn) wait(interrupt func()) bool {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.acceptor.budget.Wait(time.Now(), c.reservation)
	c.interrupt = interrupt
	return c.reservation.State() != budgeter.Ended
}

// begin notes that the first bytes of a request were received, perhaps together with the one before it.
func (c *Conn) begin() {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.acceptor.budget.Progress(time.Now(), c.reservation)
}

// beginBody notes that a request's header was parsed. It reports false for a request that was evicted.
func (c *Conn) beginBody() bool {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	// A request that came together with the one before it was read from a buffer.
	c.acceptor.budget.Progress(time.Now(), c.reservation)
	c.inBody = true
	return c.reservation.State() != budgeter.Ended
}

// finish notes that a request was received in full. It reports false for one that was evicted before, which must not be handled.
func (c *Conn) finish() bool {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	return c.acceptor.budget.Finish(time.Now(), c.reservation)
}

// grow reserves bytes for a request and reports whether they fit.
func (c *Conn) grow(n int) bool {
	a := c.acceptor
	a.mu.Lock()
	evicted, ok := a.budget.Grow(c.reservation, int64(n))
	a.mu.Unlock()
	a.evict(evicted, reasonEvicted)
	if !ok {
		c.refuse()
	}
	return ok
}

// hold sets how many bytes a complete request counts until its answer, and reports whether they fit.
func (c *Conn) hold(bytes int) bool {
	a := c.acceptor
	a.mu.Lock()
	evicted, ok := a.budget.Hold(c.reservation, int64(bytes)-c.reservation.Bytes())
	a.mu.Unlock()
	a.evict(evicted, reasonEvicted)
	return ok
}

// shrink returns bytes of a request.
func (c *Conn) shrink(n int) {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.acceptor.budget.Shrink(c.reservation, int64(n))
}

// readBody reads a body of at most limit bytes, whatever size was announced, into a buffer that grows as the bytes arrive, and
// notes that the request is complete.
func (c *Conn) readBody(r io.Reader, limit int64) ([]byte, error) {
	// One more byte tells a body that is too large.
	limit++
	var body []byte
	for {
		if len(body) == cap(body) {
			size := int(min(max(2*int64(cap(body)), firstBodyBytes), limit))
			if size == len(body) {
				return nil, ErrBodyTooLarge
			}
			if !c.grow(size) {
				return nil, ErrEvicted
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			c.shrink(cap(body))
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) == limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			if !c.finish() {
				return nil, ErrEvicted
			}
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
