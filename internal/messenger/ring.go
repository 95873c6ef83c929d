package messenger

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

// ringKept is how many messages a ring has room for while it is empty. A voter of a fleet of 300 VMs has some 1,600 rings;
// room for all that each may hold took 330 KB a connection.
const ringKept = 64

// ring bounds the messages that wait for one stream, by number and by bytes. One thread takes from it.
type ring struct {
	limit int
	// wake holds a token while messages may wait.
	wake chan struct{}

	mu       sync.Mutex
	messages []sized
	// first is the index of the oldest message.
	first int
	bytes int64
}

type sized struct {
	envelope *wire.Envelope
	bytes    int64
}

func newRing(limit int) *ring { return &ring{limit: limit, wake: make(chan struct{}, 1)} }

// put reports false when the ring is full.
func (r *ring) put(e *wire.Envelope) bool {
	n := int64(proto.Size(e))
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.messages)-r.first >= r.limit || r.bytes+n > ringBytes && n < ringBytes {
		return false
	}
	if len(r.messages) == cap(r.messages) && 2*r.first >= len(r.messages) {
		// A ring that never empties must not keep the room of what was taken.
		left := copy(r.messages, r.messages[r.first:])
		clear(r.messages[left:])
		r.messages, r.first = r.messages[:left], 0
	}
	r.messages, r.bytes = append(r.messages, sized{e, n}), r.bytes+n
	r.signal()
	return true
}

// signal leaves a token for the thread that takes, where none is there already.
func (r *ring) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take appends what waits to batch, until the batch is large.
func (r *ring) take(batch []*wire.Envelope) []*wire.Envelope {
	r.mu.Lock()
	defer r.mu.Unlock()
	for size := int64(0); r.first < len(r.messages) && size < batchBytes; r.first++ {
		m := &r.messages[r.first]
		batch, size, r.bytes = append(batch, m.envelope), size+m.bytes, r.bytes-m.bytes
		m.envelope = nil
	}
	switch {
	case r.first < len(r.messages):
		r.signal()
	case cap(r.messages) > ringKept:
		r.messages, r.first = nil, 0
	default:
		r.messages, r.first = r.messages[:0], 0
	}
	return batch
}
