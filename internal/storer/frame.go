package storer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// frameHeaderBytes is the size of a frame's header: the length of the payload, its checksum, and the checksum of these
// two fields, as 4 bytes each in little-endian order.
const frameHeaderBytes = 12

// maxPayloadBytes bounds the payload of one frame; a greater length can only be damage.
const maxPayloadBytes = 1 << 30

// ErrDamaged means that stored data which may have been synced is corrupt or missing.
var ErrDamaged = eris.New("stored data is damaged")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// beginFrame returns buf, emptied, with room for the header of a frame, to which the payload is appended. endFrame fills in
// the header.
func beginFrame(buf []byte) []byte { return append(buf[:0], make([]byte, frameHeaderBytes)...) }

func endFrame(frame []byte) []byte {
	payload := frame[frameHeaderBytes:]
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoli))
	return frame
}

// nextFrame splits the first frame off b. truncated is true when b ends within the frame, as after a crash before its
// sync. A frame of full length with a wrong checksum gives ErrDamaged, because it may have been acknowledged.
func nextFrame(b []byte) (payload, rest []byte, truncated bool, err error) {
	if len(b) < frameHeaderBytes || allZero(b) {
		return nil, nil, true, nil
	}
	n := binary.LittleEndian.Uint32(b)
	if crc32.Checksum(b[:8], castagnoli) != binary.LittleEndian.Uint32(b[8:]) || n > maxPayloadBytes {
		return nil, nil, false, eris.Wrap(ErrDamaged, "frame header")
	}
	body := b[frameHeaderBytes:]
	if uint64(len(body)) < uint64(n) {
		return nil, nil, true, nil
	}
	if crc32.Checksum(body[:n], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, nil, false, eris.Wrap(ErrDamaged, "frame payload")
	}
	return body[:n], body[n:], false, nil
}

// allZero reports whether b consists of zeros. After a crash a file may be longer than the data written to it, and then
// ends in zeros.
func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// frameReader reads the frames of a file one by one.
type frameReader struct {
	r *bufio.Reader
	// left is the number of bytes from the next frame to the end of the file.
	left int64
	// buf is the buffer that next returned last, with the header.
	buf []byte
}

// next returns the payload of the next frame, which is valid until the next call; ok is false at the end, and where the file
// ends within the frame, as after a crash before its sync. The errors are those of nextFrame, and those of reading.
func (f *frameReader) next() (payload []byte, ok bool, err error) {
	if f.left < frameHeaderBytes {
		return nil, false, nil
	}
	header, err := f.r.Peek(frameHeaderBytes)
	if err != nil {
		return nil, false, eris.Wrap(err, "read frame header")
	}
	n := int64(binary.LittleEndian.Uint32(header))
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) || n > maxPayloadBytes {
		if zero, err := f.restIsZero(); zero || err != nil {
			return nil, false, err
		}
		return nil, false, eris.Wrap(ErrDamaged, "frame header")
	}
	if f.left-frameHeaderBytes < n {
		return nil, false, nil
	}
	f.buf = slices.Grow(f.buf[:0], frameHeaderBytes+int(n))[:frameHeaderBytes+int(n)]
	if _, err := io.ReadFull(f.r, f.buf); err != nil {
		return nil, false, eris.Wrap(err, "read frame")
	}
	payload, _, truncated, err := nextFrame(f.buf)
	if err != nil || truncated {
		return nil, false, err
	}
	f.left -= int64(len(f.buf))
	return payload, true, nil
}

// restIsZero reports whether the file consists of zeros from the next frame on.
func (f *frameReader) restIsZero() (bool, error) {
	for {
		c, err := f.r.ReadByte()
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil || c != 0 {
			return false, eris.Wrap(err, "read frame")
		}
	}
}
