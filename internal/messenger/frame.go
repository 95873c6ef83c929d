package messenger

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"clementineyard/wire"
)

const (
	lengthBytes = 4
	readBuffer  = 64 << 10
)

// writeRing sends what the ring holds, as many messages in one frame as are waiting.
func writeRing(w net.Conn, ring <-chan *wire.Envelope, closed <-chan struct{}) error {
	var batch []*wire.Envelope
	for {
		select {
		case <-closed:
			return nil
		case e := <-ring:
			batch = append(batch[:0], e)
		}
		size := proto.Size(batch[0])
	fill:
		for size < batchBytes {
			select {
			case e := <-ring:
				batch = append(batch, e)
				size += proto.Size(e)
			default:
				break fill
			}
		}
		if err := writeFrame(w, batch); err != nil {
			return err
		}
	}
}

func writeFrame(w net.Conn, batch []*wire.Envelope) error {
	buf := make([]byte, lengthBytes, readBuffer)
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
		body := make([]byte, n)
		if _, err := io.ReadFull(br, body); err != nil {
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
