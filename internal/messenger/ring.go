package messenger

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

// retainedQueueCapacity is the capacity, in messages, that an empty queue may retain. A voter of a fleet of 300 VMs has
// some 1,600 queues; retaining the capacity for the full limit of each would take 330 KB per connection.
const retainedQueueCapacity = 64

// sendQueue is a FIFO queue of the messages that wait for one stream, bounded by number and by bytes. It has one
// consumer.
type sendQueue struct {
	limit int
	// ready holds a token while the queue may hold messages.
	ready chan struct{}

	mu       sync.Mutex
	messages []queuedEnvelope
	// first is the index of the oldest message; those before it have been taken.
	first int
	bytes int64
}

type queuedEnvelope struct {
	envelope *wire.Envelope
	bytes    int64
}

func newSendQueue(limit int) *sendQueue {
	return &sendQueue{limit: limit, ready: make(chan struct{}, 1)}
}

// put appends a message. It returns false when the queue is full.
func (q *sendQueue) put(e *wire.Envelope) bool {
	n := int64(proto.Size(e))
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages)-q.first >= q.limit || q.bytes+n > maxQueueBytes && n < maxQueueBytes {
		return false
	}
	if len(q.messages) == cap(q.messages) && 2*q.first >= len(q.messages) {
		// Reuse the space of the messages that were taken, since a queue that never empties would otherwise keep growing.
		left := copy(q.messages, q.messages[q.first:])
		clear(q.messages[left:])
		q.messages, q.first = q.messages[:left], 0
	}
	q.messages, q.bytes = append(q.messages, queuedEnvelope{e, n}), q.bytes+n
	q.signal()
	return true
}

// signal makes ready hold a token for the consumer.
func (q *sendQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take moves the oldest messages to batch, until they amount to targetBatchBytes.
func (q *sendQueue) take(batch []*wire.Envelope) []*wire.Envelope {
	q.mu.Lock()
	defer q.mu.Unlock()
	for size := int64(0); q.first < len(q.messages) && size < targetBatchBytes; q.first++ {
		m := &q.messages[q.first]
		batch, size, q.bytes = append(batch, m.envelope), size+m.bytes, q.bytes-m.bytes
		m.envelope = nil
	}
	switch {
	case q.first < len(q.messages):
		q.signal()
	case cap(q.messages) > retainedQueueCapacity:
		q.messages, q.first = nil, 0
	default:
		q.messages, q.first = q.messages[:0], 0
	}
	return batch
}
