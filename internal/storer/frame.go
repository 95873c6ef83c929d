package storer

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// headerBytes holds the payload's length, its checksum, and the checksum of these two.
const headerBytes = 12

// maxPayload bounds one frame in bytes; a longer length can only be damage.
const maxPayload = 1 << 30

// ErrDamaged means that bytes which had been synced cannot be read back.
var ErrDamaged = eris.New("stored data is damaged")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends payload as one frame to b.
func appendFrame(b, payload []byte) []byte {
	at := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:], castagnoli))
	return append(b, payload...)
}

// nextFrame splits the first frame off b. torn means that b ends within the frame, as after a crash before its sync;
// a frame that is complete in length with a wrong checksum is damage, because its bytes may have been acknowledged.
func nextFrame(b []byte) (payload, rest []byte, torn bool, err error) {
	if len(b) < headerBytes || allZero(b) {
		return nil, nil, true, nil
	}
	n := binary.LittleEndian.Uint32(b)
	if crc32.Checksum(b[:8], castagnoli) != binary.LittleEndian.Uint32(b[8:]) || n > maxPayload {
		return nil, nil, false, eris.Wrap(ErrDamaged, "frame header")
	}
	body := b[headerBytes:]
	if uint64(len(body)) < uint64(n) {
		return nil, nil, true, nil
	}
	if crc32.Checksum(body[:n], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, nil, false, eris.Wrap(ErrDamaged, "frame payload")
	}
	return body[:n], body[n:], false, nil
}

// allZero recognises a file that a crash left longer than the data written to it.
func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
