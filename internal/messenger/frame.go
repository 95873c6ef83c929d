package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
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

// writeRing sends what the ring holds, as many messages in one frame as are waiting.
func writeRing(w net.Conn, r *ring, closed <-chan struct{}) error {
	var batch []*wire.Envelope
	buf := make([]byte, 0, writeBuffer)
	for {
		select {
		case <-closed:
			return nil
		case <-r.wake:
		}
		if batch = r.take(batch[:0]); len(batch) == 0 {
			continue
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
