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
	frameHeaderBytes = 4
	// readBufferBytes suffices for headers and small messages. It is small, because a VM of a large fleet reads some
	// hundred streams.
	readBufferBytes = 4 << 10
	// writeBufferBytes is the size of the buffer that one stream reuses for its frames. A larger frame gets a buffer of
	// its own.
	writeBufferBytes = 16 << 10
)

// writeQueue writes the messages of the queue to w until closed is closed or a write fails. One frame takes all waiting
// messages, up to about targetBatchBytes. It calls drop for a message that cannot be encoded and goes on with the others.
func writeQueue(w net.Conn, q *sendQueue, closed <-chan struct{}, drop func(*wire.Envelope, error)) error {
	var batch []*wire.Envelope
	buf := make([]byte, 0, writeBufferBytes)
	for {
		select {
		case <-closed:
			return nil
		case <-q.ready:
		}
		if batch = q.take(batch[:0]); len(batch) == 0 {
			continue
		}
		if frame, err := encodeFrame(buf, batch); err == nil {
			if err := write(w, frame); err != nil {
				return err
			}
			continue
		}
		for i := range batch {
			frame, err := encodeFrame(buf, batch[i:i+1])
			if err != nil {
				drop(batch[i], err)
				continue
			}
			if err := write(w, frame); err != nil {
				return err
			}
		}
	}
}

// encodeFrame returns a frame: the length of the encoded batch, as 4 bytes in big-endian order, and the batch. It uses
// buf where that is large enough.
func encodeFrame(buf []byte, batch []*wire.Envelope) ([]byte, error) {
	buf = append(buf[:0], make([]byte, frameHeaderBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, &wire.Batch{Envelopes: batch})
	if err != nil {
		return nil, eris.Wrap(err, "encode batch")
	}
	n := len(buf) - frameHeaderBytes
	if n > maxFrameBytes {
		return nil, eris.Errorf("encode batch: length of %d bytes exceeds the limit of %d", n, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf, uint32(n))
	return buf, nil
}

// write writes a frame within writeTimeout.
func write(w net.Conn, frame []byte) error {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := w.Write(frame)
	return err
}

// readFrames calls handle for each message until the stream ends or handle fails. It returns io.EOF at an end between
// two frames.
func readFrames(r io.Reader, handle func(*wire.Envelope) error) error {
	return readLimitedFrames(r, func() uint32 { return maxFrameBytes }, handle)
}

// readLimitedFrames is readFrames with a limit on the size of each frame, which limit returns before the frame is read.
func readLimitedFrames(r io.Reader, limit func() uint32, handle func(*wire.Envelope) error) error {
	br := bufio.NewReaderSize(r, readBufferBytes)
	var header [frameHeaderBytes]byte
	for {
		if _, err := io.ReadFull(br, header[:]); err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(header[:])
		if l := limit(); n > l {
			return eris.Errorf("read frame: length of %d bytes exceeds the limit of %d", n, l)
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

// readBody reads the n bytes of a frame's body. It allocates the memory of a large body as its bytes arrive: the first
// frame of a stream is read before the sender is authenticated, so a header alone must not reserve that memory.
func readBody(r io.Reader, n int) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(min(n, targetBatchBytes) + bytes.MinRead) // ReadFrom grows a buffer that has less space left.
	_, err := io.CopyN(&b, r, int64(n))
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return b.Bytes(), err
}
