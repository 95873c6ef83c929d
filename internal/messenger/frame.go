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
// messages, up to about targetBatchBytes.
func writeQueue(w net.Conn, q *sendQueue, closed <-chan struct{}) error {
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
		if err := writeFrame(w, buf, batch); err != nil {
			return err
		}
	}
}

// writeFrame writes one frame: the length of the encoded batch, as 4 bytes in big-endian order, and the batch. It
// encodes the frame into buf where that is large enough.
func writeFrame(w net.Conn, buf []byte, batch []*wire.Envelope) error {
	buf = append(buf[:0], make([]byte, frameHeaderBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, &wire.Batch{Envelopes: batch})
	if err != nil {
		return eris.Wrap(err, "encode batch")
	}
	binary.BigEndian.PutUint32(buf, uint32(len(buf)-frameHeaderBytes))
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

// readFrames calls handle for each message until the stream ends or handle fails. It returns io.EOF at an end between
// two frames.
func readFrames(r io.Reader, handle func(*wire.Envelope) error) error {
	br := bufio.NewReaderSize(r, readBufferBytes)
	var header [frameHeaderBytes]byte
	for {
		if _, err := io.ReadFull(br, header[:]); err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(header[:])
		if n > maxFrameBytes {
			return eris.Errorf("read frame: length of %d bytes exceeds the limit of %d", n, maxFrameBytes)
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
