package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

const (
	lengthBytes = 4
	// readBuffer is for heads and small messages; a VM of a large fleet reads some hundred streams.
	readBuffer = 4 << 10
	// writeBuffer is what one stream keeps for its frames. A larger frame gets memory of its own.
	writeBuffer = 16 << 10
)

// ring bounds the messages that wait for one stream, by number and by bytes.
type ring struct {
	messages chan sized
	bytes    atomic.Int64
}

type sized struct {
	envelope *wire.Envelope
	bytes    int64
}

func newRing(size int) *ring { return &ring{messages: make(chan sized, size)} }

// put reports false when the ring is full.
func (r *ring) put(e *wire.Envelope) bool {
	n := int64(proto.Size(e))
	if r.bytes.Add(n) > ringBytes && n < ringBytes {
		r.bytes.Add(-n)
		return false
	}
	select {
	case r.messages <- sized{e, n}:
		return true
	default:
		r.bytes.Add(-n)
		return false
	}
}

// taken accounts for a message that has left the ring.
func (r *ring) taken(m sized) (*wire.Envelope, int64) {
	r.bytes.Add(-m.bytes)
	return m.envelope, m.bytes
}

// writeRing sends what the ring holds, as many messages in one frame as are waiting.
func writeRing(w net.Conn, r *ring, closed <-chan struct{}) error {
	var batch []*wire.Envelope
	buf := make([]byte, 0, writeBuffer)
	for {
		var size int64
		select {
		case <-closed:
			return nil
		case m := <-r.messages:
			e, n := r.taken(m)
			batch, size = append(batch[:0], e), n
		}
	fill:
		for size < batchBytes {
			select {
			case m := <-r.messages:
				e, n := r.taken(m)
				batch, size = append(batch, e), size+n
			default:
				break fill
			}
		}
		if err := writeFrame(w, buf, batch); err != nil {
			return err
		}
	}
}

// writeFrame writes one frame, which it builds in buf's memory where that is enough.
func writeFrame(w net.Conn, buf []byte, batch []*wire.Envelope) error {
	buf = append(buf[:0], make([]byte, lengthBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, &wire.Batch{Envelopes: batch})
	if err != nil {
		return eris.Wrap(err, "encode batch")
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-lengthBytes))
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

// readFrames hands each message to handle until the stream ends or handle fails.
func readFrames(r io.Reader, handle func(*wire.Envelope) error) error {
	br := bufio.NewReaderSize(r, readBuffer)
	var head [lengthBytes]byte
	for {
		if _, err := io.ReadFull(br, head[:]); err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > maxFrame {
			return eris.Errorf("frame of %d bytes exceeds the limit of %d", n, maxFrame)
		}
		body, err := readBody(br, int(n))
		if err != nil {
			return err
		}
		batch := &wire.Batch{}
		if err := proto.Unmarshal(body, batch); err != nil {
			return eris.Wrap(err, "decode batch")
		}
		for _, e := range batch.Envelopes {
			if err := handle(e); err != nil {
				return err
			}
		}
	}
}

// readBody takes the memory of a large frame as its bytes arrive. The first frame of a stream is read before the
// sender's token is known, so a head alone must not reserve it.
func readBody(r io.Reader, n int) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(min(n, batchBytes) + bytes.MinRead) // ReadFrom grows a buffer that has less room left
	_, err := io.CopyN(&b, r, int64(n))
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return b.Bytes(), err
}
