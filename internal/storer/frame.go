package storer

import (
	"encoding/binary"
	"hash/crc32"

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

// appendFrame appends payload as one frame to b.
func appendFrame(b, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	return append(b, payload...)
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
